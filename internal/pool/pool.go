package pool

import (
	"runtime"
	"sync"
)

// defaultQueue is the number of jobs that the zero value holds.
const defaultQueue = 1024

// Pool runs jobs on a fixed number of workers. The zero value is ready to use: it
// starts one worker per processor with the first job.
type Pool struct {
	workers int
	queue   int

	start sync.Once
	// mutex guards closed and the sending side of jobs. It is held for no other lock.
	mutex  sync.RWMutex
	closed bool
	jobs   chan func()
	done   sync.WaitGroup
}

// New returns a pool of the given number of workers that holds up to queue waiting
// jobs, and a function that waits for the accepted jobs and stops the workers.
// Numbers below one mean the defaults.
func New(workers, queue int) (*Pool, func()) {
	pool := &Pool{workers: workers, queue: queue}
	return pool, pool.close
}

// Submit hands a job to the workers. It returns false, and does not run the job, if
// the queue is full or the pool is closed.
func (pool *Pool) Submit(job func()) bool {
	pool.start.Do(pool.run)
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

// Go hands a job to the workers and runs it on a goroutine of its own if the queue
// is full, for jobs that must not be lost. It does nothing after the pool was closed.
func (pool *Pool) Go(job func()) {
	if pool.Submit(job) {
		return
	}
	pool.mutex.RLock()
	defer pool.mutex.RUnlock()
	if !pool.closed {
		pool.done.Go(job)
	}
}

func (pool *Pool) run() {
	if pool.workers < 1 {
		pool.workers = runtime.GOMAXPROCS(0)
	}
	if pool.queue < 1 {
		pool.queue = defaultQueue
	}
	pool.jobs = make(chan func(), pool.queue)
	for range pool.workers {
		pool.done.Go(pool.work)
	}
}

func (pool *Pool) work() {
	for job := range pool.jobs {
		job()
	}
}

func (pool *Pool) close() {
	pool.start.Do(pool.run)
	pool.mutex.Lock()
	alreadyClosed := pool.closed
	pool.closed = true
	pool.mutex.Unlock()
	if !alreadyClosed {
		close(pool.jobs)
	}
	pool.done.Wait()
}
