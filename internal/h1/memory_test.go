package h1

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestManySmallBodies guards against small bodies whose sum is not bounded: 4,000 callers with
// 16 KiB each hold twice the memory for large ones. Large bodies must not take their part.
func TestManySmallBodies(t *testing.T) {
	is := is.New(t)
	const limit core.Bytes = 4 << 20
	memory := Memory{Limit: limit}
	body := bytes.Repeat([]byte("x"), 10<<10)
	held, refused := 0, 0
	for range 4000 {
		reservation, release := memory.Reserve()
		content, err := ReadAll(bytes.NewReader(body), 1<<20, reservation)
		if errors.Is(err, ErrMemory) {
			refused++
			release()
			continue
		}
		is.NoErr(err)
		defer release()
		held += cap(content)
	}
	is.True(refused > 0)
	is.True(held <= int(limit+limit/smallShare))
	is.True(held > int(limit)) // the memory is used
}

// TestLargeBodiesLeaveRoom guards against large bodies that leave no room for small ones, and
// against memory that is not given back.
func TestLargeBodiesLeaveRoom(t *testing.T) {
	is := is.New(t)
	memory := Memory{Limit: 4 << 20}
	large, releaseLarge := memory.Reserve()
	_, err := ReadAll(strings.NewReader(strings.Repeat("x", 1<<20)), 1<<20, large)
	is.NoErr(err)
	other, releaseOther := memory.Reserve()
	_, err = ReadAll(strings.NewReader(strings.Repeat("x", 4<<20)), 4<<20, other)
	is.True(errors.Is(err, ErrMemory))
	small, releaseSmall := memory.Reserve()
	_, err = ReadAll(strings.NewReader("small"), 1<<20, small)
	is.NoErr(err)
	releaseLarge()
	releaseOther()
	releaseSmall()
	is.Equal(memory.used.Load(), int64(0))
	is.Equal(memory.small.Load(), int64(0))
}

// endingReader reports the end of a body together with its last bytes, as net/http does for one
// with a stated length.
type endingReader struct{ left []byte }

// Read reads from the body.
func (reader *endingReader) Read(buffer []byte) (int, error) {
	count := copy(buffer, reader.left)
	if reader.left = reader.left[count:]; len(reader.left) == 0 {
		return count, io.EOF
	}
	return count, nil
}

// BenchmarkReadAll measures the reading of a usual and of a large body.
func BenchmarkReadAll(b *testing.B) {
	for name, size := range map[string]int{"8KiB": 8 << 10, "1MiB": 1 << 20} {
		b.Run(name, func(b *testing.B) {
			memory := Memory{}
			body := bytes.Repeat([]byte("x"), size)
			b.ReportAllocs()
			for b.Loop() {
				reservation, release := memory.Reserve()
				if _, err := ReadStated(&endingReader{body}, int64(size), 1<<20, reservation); err != nil {
					b.Fatal(err)
				}
				release()
			}
		})
	}
}
