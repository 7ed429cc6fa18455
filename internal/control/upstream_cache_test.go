package control

import (
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/wal"
)

// TestRestoreUpstreams guards against a deployment that serves nothing after a restart until
// its upstreams have announced themselves, against one that keeps upstreams which no longer
// exist, and against a damaged file that keeps a VM from starting.
func TestRestoreUpstreams(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "upstreams.json")
	options := Options{VM: "c", Zone: "z", RecallFile: path, AnnounceInterval: time.Second, Logger: log.New(io.Discard)}
	upstream := func(id core.UpstreamID, sequence uint64) core.Instance {
		return core.Instance{Upstream: id, Born: 1, Sequence: sequence, Service: "s", Address: "10.0.0.1:" + string(id), Zone: "z", Slots: 1}
	}
	before := New(options, NewPeers(Peer{VM: "c", Zone: "z"}))
	is.NoErr(before.Announce(t.Context(), upstream("a", 5)))
	is.NoErr(before.Announce(t.Context(), upstream("b", 7)))
	is.NoErr(before.Announce(t.Context(), upstream("gone", 2)))
	is.NoErr(before.Deregister(t.Context(), "gone"))
	before.saveUpstreams()

	after := New(options, NewPeers(Peer{VM: "c", Zone: "z"}))
	after.restoreUpstreams(0)
	known := after.snapshot(false).instances
	is.Equal(len(known), 2) // a deregistered upstream is not restored
	is.True(known[0].Silent && known[1].Silent)

	is.NoErr(after.Announce(t.Context(), upstream("a", 6)))
	after.known.Expire(removalAfter - 1)
	known = after.snapshot(false).instances
	is.Equal(len(known), 2)
	is.True(!known[0].Silent)
	is.True(known[1].Silent)
	after.known.Expire(removalAfter)
	known = after.snapshot(false).instances
	is.Equal(len(known), 1)
	is.Equal(known[0].Upstream, core.UpstreamID("a"))

	// An invalid entry of a former version does not hide the others.
	data, err := os.ReadFile(path)
	is.NoErr(err)
	invalid := `[{"Upstream":"invalid","Born":1,"Sequence":1,"Service":"s","Address":"10.0.0.1:z","Zone":"z","Slots":9000000000000000000},{"Slots":"many"},`
	is.NoErr(os.WriteFile(path, append([]byte(invalid), data[1:]...), 0o600))
	mixed := New(options, NewPeers(Peer{VM: "c", Zone: "z"}))
	mixed.restoreUpstreams(0)
	known = mixed.snapshot(false).instances
	is.Equal(len(known), 2)
	is.Equal(known[0].Upstream, core.UpstreamID("a"))

	is.NoErr(os.WriteFile(path, []byte(`[{"Upstream":`), 0o600))
	damaged := New(options, NewPeers(Peer{VM: "c", Zone: "z"}))
	damaged.restoreUpstreams(0)
	known = damaged.snapshot(false).instances
	is.Equal(len(known), 0)
}

// TestSilenceAtOneVM guards against an upstream that runs and gets no request any more, for good,
// because a control VM that had restarted while it was cut off did not hear it.
func TestSilenceAtOneVM(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "upstreams.json")
	upstream := func(sequence uint64) core.Instance {
		return core.Instance{Upstream: "a", Born: 1, Sequence: sequence, Service: "s", Address: "10.0.0.1:80", Zone: "z", Slots: 1}
	}
	options := Options{VM: "c1", Zone: "z", RecallFile: path, AnnounceInterval: time.Second, Logger: log.New(io.Discard)}
	before := New(options, NewPeers(Peer{VM: "c1", Zone: "z"}))
	is.NoErr(before.Announce(t.Context(), upstream(5)))
	before.saveUpstreams()
	restarted := New(options, NewPeers(Peer{VM: "c1", Zone: "z"}))
	restarted.restoreUpstreams(clock.Now() - 10*time.Second)
	restarted.startDueOrders()

	other := New(Options{VM: "c2", Zone: "z", AnnounceInterval: time.Second, Logger: log.New(io.Discard)}, NewPeers(Peer{VM: "c2", Zone: "z"}))
	is.NoErr(other.Announce(t.Context(), upstream(9)))
	for _, instance := range restarted.snapshot(false).instances { // the cut heals
		other.lock.Lock()
		other.merge(clock.Now(), instance)
		other.lock.Unlock()
	}
	is.NoErr(other.Announce(t.Context(), upstream(10)))
	for _, control := range []*Control{other, restarted} {
		for _, instance := range other.snapshot(false).instances {
			control.lock.Lock()
			control.merge(clock.Now(), instance)
			control.lock.Unlock()
		}
		known := control.snapshot(false).instances
		is.Equal(len(known), 1)
		is.True(!known[0].Gone)
		is.True(!known[0].Silent)
	}
}

// recordedFiles records the calls that make a file durable.
type recordedFiles struct {
	wal.OSFileSystem
	calls []string
}

type recordedFile struct {
	wal.File
	files *recordedFiles
}

func (files *recordedFiles) Create(path string) (wal.File, error) {
	file, err := files.OSFileSystem.Create(path)
	return recordedFile{file, files}, err
}

func (file recordedFile) Sync() error {
	file.files.calls = append(file.files.calls, "sync")
	return file.File.Sync()
}

func (files *recordedFiles) Rename(from, to string) error {
	files.calls = append(files.calls, "rename")
	return files.OSFileSystem.Rename(from, to)
}

func (files *recordedFiles) SyncDirectory(directory string) error {
	files.calls = append(files.calls, "sync directory")
	return files.OSFileSystem.SyncDirectory(directory)
}

// TestUpstreamsAreDurable guards against a file of the known upstreams that is older after a loss
// of power than what the VM knew, or that an unfinished earlier write keeps from being written.
func TestUpstreamsAreDurable(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "upstreams.json")
	is.NoErr(os.WriteFile(path+".tmp", []byte("["), 0o600))
	files := &recordedFiles{}
	is.NoErr(writeUpstreams(files, path, []core.Instance{{Upstream: "a"}}))
	is.Equal(files.calls, []string{"sync", "rename", "sync directory"})
}

// TestUnreadableUpstreams guards against software versions that are taken for the only ones of
// their services although the file that names the others cannot be read. The setting for the
// first start stays set when a VM is started again.
func TestUnreadableUpstreams(t *testing.T) {
	for name, content := range map[string]string{"empty": "", "cut": `[{"Upstream":`} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "upstreams.json")
			is.NoErr(os.WriteFile(path, []byte(content), 0o600))
			control := New(Options{VM: "c", Zone: "z", FirstStart: true, RecallFile: path, AnnounceInterval: time.Second, Logger: log.New(io.Discard)}, NewPeers(Peer{VM: "c", Zone: "z"}))
			control.beginHistory()
			is.NoErr(control.Announce(t.Context(), core.Instance{Upstream: "a", Born: 1, Sequence: 1, Service: "s", Software: "v1", Address: "10.0.0.1:1", Zone: "z", Slots: 1}))
			is.Equal(control.versions.Sole(clock.Now(), "s"), core.SoftwareVersion(""))
		})
	}
}
