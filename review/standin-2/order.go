package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	events        = 30
	eventInterval = 100 * time.Millisecond
	streamLimit   = 12 * time.Second
)

// piece is the data of one event of a stream.
type piece struct {
	Version string `json:"version"`
	Number  int    `json:"number"`
}

// streamer answers the requests of a worker with streams. While it holds, requests wait without
// an answer, and are reset when it breaks them off.
type streamer struct {
	lock sync.Mutex
	held chan struct{}
}

// hold makes the requests from now on wait.
func (streamer *streamer) hold() {
	streamer.lock.Lock()
	defer streamer.lock.Unlock()
	streamer.held = make(chan struct{})
}

// breakOff resets the requests that wait, and answers later ones.
func (streamer *streamer) breakOff() {
	streamer.lock.Lock()
	defer streamer.lock.Unlock()
	close(streamer.held)
	streamer.held = nil
}

func (streamer *streamer) holding() chan struct{} {
	streamer.lock.Lock()
	defer streamer.lock.Unlock()
	return streamer.held
}

// answer writes the stream behind the event that the request names.
func (streamer *streamer) answer(worker *worker, writer http.ResponseWriter, request *http.Request) {
	if held := streamer.holding(); held != nil {
		select {
		case <-held:
			if conn, _, err := http.NewResponseController(writer).Hijack(); err == nil {
				if tcp, ok := conn.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
				conn.Close()
				worker.deployment.record.write("worker %s resets request %s before its first event", worker.id, request.Header.Get("X-Dandelionring-Request-Id"))
			}
		case <-request.Context().Done():
		}
		return
	}
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	writer.Header().Set("Content-Type", "text/event-stream")
	count := events
	if strings.Contains(request.URL.Path, "/short/") {
		count = 1
	}
	for number := last + 1; number <= count; number++ {
		data, err := json.Marshal(piece{worker.version, number})
		if err != nil {
			return
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, data); err != nil {
			return
		}
		if http.NewResponseController(writer).Flush() != nil || request.Context().Err() != nil {
			return
		}
		if number < count {
			sleep(request.Context(), eventInterval)
		}
	}
}

// stream is one stream as its client gets it over its tries.
type stream struct {
	id       string
	last     int
	versions []string
	whole    bool
}

// read makes one try at a front machine. It returns when the answer ends.
func (stream *stream) read(deployment *deployment, front, id, path string) {
	deployment.record.write("client sends %s to %s, events so far %d, resumes %q", id, front, stream.last, map[bool]string{true: stream.id}[stream.last > 0])
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(streamLimit))
	resume := ""
	if stream.last > 0 {
		resume = fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", stream.last, stream.id)
	}
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Dandelionring-Request-Id: %s\r\nX-Dandelionring-Deadline-Ms: %d\r\n%sContent-Length: 0\r\n\r\n", path, host, id, streamLimit.Milliseconds(), resume)
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		deployment.record.write("client has no answer to %s: %v", id, err)
		return
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		text, found := strings.CutPrefix(lines.Text(), "data: ")
		var piece piece
		if !found || json.Unmarshal([]byte(text), &piece) != nil {
			continue
		}
		stream.last = piece.Number
		if len(stream.versions) == 0 || stream.versions[len(stream.versions)-1] != piece.Version {
			stream.versions = append(stream.versions, piece.Version)
			deployment.record.write("client gets event %d for %s from version %s", piece.Number, id, piece.Version)
		}
	}
	stream.whole = lines.Err() == nil && stream.last == events
	deployment.record.write("client: the answer %d to %s ends after event %d: %v", response.StatusCode, id, stream.last, lines.Err())
}

// playOrder has workers of two software versions. Streams that have not begun are reset by their
// worker and sent again to the other version, while a control machine stands still. Then the entry
// machine ends, and the clients take their streams up at another one.
func playOrder(deployment *deployment, trouble bool) (bool, error) {
	const (
		streams     = 12
		usual       = 140
		usualPause  = 50 * time.Millisecond
		beforeReset = 1700 * time.Millisecond
		freeze      = 3500 * time.Millisecond
		tolerated   = 2 // streams with events of two versions
	)
	held := &streamer{}
	for i, version := range []string{"v1", "v2"} {
		streamer := &streamer{}
		if i == 0 {
			streamer = held
		}
		if _, err := deployment.startStreamer(fmt.Sprintf("i-%08x", 0x7f3a91c2+i), "huvo11a", zoneName(i), version, streamer); err != nil {
			return false, err
		}
	}
	resumable := route("r-1", "/lohu930/", "huvo11a", int(streamLimit.Milliseconds()))
	resumable["kind"], resumable["resumable"], resumable["sticky"] = "stream", true, true
	if err := deployment.begin(config(1, []object{resumable}, "huvo11a")); err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeat)
	fronts := deployment.fronts()
	var clients sync.WaitGroup
	for number := range usual {
		clients.Go(func() {
			(&stream{}).read(deployment, fronts[0], fmt.Sprintf("%016x", 0x1000+number), "/lohu930/short/2f")
		})
		time.Sleep(usualPause)
	}
	clients.Wait()
	if trouble {
		held.hold()
	}
	all := make([]*stream, streams)
	ended := make(chan struct{}, streams)
	for number := range all {
		all[number] = &stream{id: fmt.Sprintf("%016x", number+1)}
		clients.Go(func() {
			all[number].read(deployment, fronts[0], all[number].id, "/lohu930/2f")
			ended <- struct{}{}
		})
	}
	if trouble {
		time.Sleep(beforeReset - 50*time.Millisecond)
		core, front := deployment.machines[0], deployment.machines[zoneCount]
		core.signal(syscall.SIGSTOP)
		deployment.record.write("%s stands still", core.name)
		thaw := time.AfterFunc(freeze, func() { core.signal(syscall.SIGCONT) })
		defer thaw.Stop()
		time.Sleep(50 * time.Millisecond)
		held.breakOff()
		time.Sleep(500 * time.Millisecond)
		front.hold(true)
		deployment.record.write("%s is killed", front.name)
		time.AfterFunc(restartDelay, func() { front.hold(false) })
	}
	for range all {
		<-ended
	}
	for number, stream := range all {
		if stream.whole || stream.last == 0 {
			continue
		}
		clients.Go(func() {
			stream.read(deployment, fronts[1], fmt.Sprintf("%016x", 0x100+number), "/lohu930/2f")
		})
	}
	clients.Wait()
	joined, whole := 0, 0
	for _, stream := range all {
		if stream.whole {
			whole++
		}
		if len(stream.versions) > 1 {
			joined++
			deployment.record.write("ORDER: the stream %s holds events of the versions %v", stream.id, stream.versions)
		}
	}
	deployment.record.write("%d of %d streams are whole, %d hold events of two software versions", whole, streams, joined)
	if !trouble && whole < streams {
		return false, fmt.Errorf("%w: a stream is not whole without a disruption", errNotPlayed)
	}
	return joined > tolerated, nil
}

// signal sends a signal to the process of a machine.
func (machine *machine) signal(signal syscall.Signal) {
	machine.lock.Lock()
	defer machine.lock.Unlock()
	if machine.process != nil {
		_ = machine.process.Signal(signal)
	}
}

// startStreamer starts a worker of a software version that answers with streams.
func (deployment *deployment) startStreamer(id, service, zone, version string, streamer *streamer) (*worker, error) {
	listener, err := net.Listen("tcp", deployment.nextIP()+":0")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotPlayed, err)
	}
	worker := &worker{deployment: deployment, id: id, service: service, zone: zone, version: version, slots: 64, address: listener.Addr().String(), born: time.Now().UnixMilli(), streamer: streamer}
	server := &http.Server{Handler: worker, IdleTimeout: 15 * time.Second}
	deployment.running.Go(func() { _ = server.Serve(listener) })
	context.AfterFunc(deployment.ctx, func() { server.Close() })
	deployment.running.Go(worker.announceLoop)
	return worker, nil
}
