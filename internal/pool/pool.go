package pool

import (
	"runtime"
	"sync"
)

// defaultQueueSize is the default number of queued jobs.
const defaultQueueSize = 1024

// Pool runs jobs on a fixed number of workers. The zero value is ready to use: it
// starts one worker per processor when the first job is submitted.
type Pool struct {
	workers int
	queue   int

	startOnce sync.Once
	// mutex guards closed and sends to jobs. No other lock is acquired while it is held.
	mutex   sync.RWMutex
	closed  bool
	jobs    chan func()
	running sync.WaitGroup
}

// New returns a pool with the given number of workers and a queue for up to queue jobs, and
// a function that stops the workers after all accepted jobs have run. Numbers below one
// mean the defaults: one worker per processor, and 1024 queued jobs.
func New(workers, queue int) (*Pool, func()) {
	pool := &Pool{workers: workers, queue: queue}
	return pool, pool.close
}

// Submit queues a job for the workers. It returns false, and does not run the job, if the
// queue is full or the pool is closed.
func (pool *Pool) Submit(job func()) bool {
	pool.startOnce.Do(pool.startWorkers)
	pool.mutex.RLock()
	defer pool.mutex.RUnlock()
	if pool.closed {
		return false
	}
	select {
	case pool.jobs <- job:
		return true
	default:
		return false
	}
}

// Go queues a job for the workers, or runs it on a goroutine of its own if the queue is
// full. It is meant for jobs that must not be dropped. It does nothing if the pool is
// closed.
func (pool *Pool) Go(job func()) {
	if pool.Submit(job) {
		return
	}
	pool.mutex.RLock()
	defer pool.mutex.RUnlock()
	if !pool.closed {
		pool.running.Go(job)
	}
}

func (pool *Pool) startWorkers() {
	if pool.workers < 1 {
		pool.workers = runtime.GOMAXPROCS(0)
	}
	if pool.queue < 1 {
		pool.queue = defaultQueueSize
	}
	pool.jobs = make(chan func(), pool.queue)
	for range pool.workers {
		pool.running.Go(pool.work)
	}
}

func (pool *Pool) work() {
	for job := range pool.jobs {
		job()
	}
}

func (pool *Pool) close() {
	pool.startOnce.Do(pool.startWorkers)
	pool.mutex.Lock()
	alreadyClosed := pool.closed
	pool.closed = true
	pool.mutex.Unlock()
	if !alreadyClosed {
		close(pool.jobs)
	}
	pool.running.Wait()
}
