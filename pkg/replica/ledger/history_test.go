package ledger

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestHistory checks that every old version of an entry can be read, and has its
// original content, after it was compressed or restored from a snapshot.
func TestHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := newVersionedList()
		var want [][]byte
		for number := range rapid.IntRange(0, 5*versionsPerBlock).Draw(t, "changes") {
			content := []byte(fmt.Sprint("content ", number))
			if rapid.IntRange(0, 4).Draw(t, "removed") == 0 {
				content = nil
			}
			list.set("plan", core.ConfigNumber(number+1), content)
			want = append(want, content)
		}
		restored := newVersionedList()
		restored.load(list.storedEntries())
		for _, versions := range []*versionedList{list, restored} {
			checkHistory(t, versions, want)
		}
	})
}

func checkHistory(t *rapid.T, versions *versionedList, want [][]byte) {
	for i, content := range want {
		found, err := versions.at(core.ConfigNumber(i + 1))
		if err != nil {
			t.Fatal(err)
		}
		if len(found) > 1 || (len(found) == 1) != (content != nil) || content != nil && string(found[0]) != string(content) {
			t.Fatalf("number %d has %q instead of %q", i+1, found, content)
		}
	}
	if before, err := versions.at(0); err != nil || len(before) > 0 {
		t.Fatalf("number 0 has %q: %v", before, err)
	}
}

// TestDamagedBlock checks that a truncated block returns an error and does not panic.
func TestDamagedBlock(t *testing.T) {
	is := is.New(t)
	whole := compressVersions([]version{{1, []byte("content")}, {2, nil}})
	versions, err := whole.decompress()
	is.NoErr(err)
	is.Equal(len(versions), 2)
	for length := range whole.Data {
		_, err := block{First: 1, Data: whole.Data[:length]}.decompress()
		is.True(err != nil)
	}
}
