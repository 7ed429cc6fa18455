package ledger

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestHistory guards against an old version of an entry that cannot be read, or
// that another one replaces, once it is compressed or came from a snapshot.
func TestHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := newSeries()
		var want [][]byte
		for number := range rapid.IntRange(0, 5*blockVersions).Draw(t, "changes") {
			content := []byte(fmt.Sprint("content ", number))
			if rapid.IntRange(0, 4).Draw(t, "removed") == 0 {
				content = nil
			}
			list.set("plan", core.ConfigNumber(number+1), content)
			want = append(want, content)
		}
		restored := newSeries()
		restored.load(list.store())
		for _, series := range []*series{list, restored} {
			checkHistory(t, series, want)
		}
	})
}

func checkHistory(t *rapid.T, series *series, want [][]byte) {
	for i, content := range want {
		found, err := series.at(core.ConfigNumber(i + 1))
		if err != nil {
			t.Fatal(err)
		}
		if len(found) > 1 || (len(found) == 1) != (content != nil) || content != nil && string(found[0]) != string(content) {
			t.Fatalf("number %d has %q instead of %q", i+1, found, content)
		}
	}
	if before, err := series.at(0); err != nil || len(before) > 0 {
		t.Fatalf("number 0 has %q: %v", before, err)
	}
}

// TestDamagedBlock guards against a panic on a block that cannot be read.
func TestDamagedBlock(t *testing.T) {
	is := is.New(t)
	whole := pack([]version{{1, []byte("content")}, {2, nil}})
	versions, err := whole.unpack()
	is.NoErr(err)
	is.Equal(len(versions), 2)
	for length := range whole.Data {
		_, err := block{First: 1, Data: whole.Data[:length]}.unpack()
		is.True(err != nil)
	}
}
