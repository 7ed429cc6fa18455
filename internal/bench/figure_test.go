package bench

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestFigures checks the printed lines and that a value outside its bound is reported
// as failed.
func TestFigures(t *testing.T) {
	is := is.New(t)
	var lines strings.Builder
	figures := NewFigures(&lines)
	figures.AtLeast("enough", 5, "claims", 5)
	figures.AtMost("quick", 2, "s", 2)
	figures.Report("free", 7, "ms")
	ok, err := figures.Result()
	is.NoErr(err)
	is.True(ok)
	figures.AtMost("slow", 2.1, "s", 2)
	ok, _ = figures.Result()
	is.True(!ok)
	is.Equal(lines.String(), "enough 5.000 claims >=5 PASS\nquick 2.000 s <=2 PASS\nfree 7.000 ms - -\nslow 2.100 s <=2 FAIL\n")
}
