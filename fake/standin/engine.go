package standin

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// engine runs a batch on a clock.
type engine struct {
	clock  clockwork.Clock
	faults *faults

	mu          sync.Mutex
	batch       *batch
	loopRunning bool // a goroutine runs loop
	events      *eventLog
	load        *loadHistory
}

func newEngine(o Options, clock clockwork.Clock, f *faults) *engine {
	e := &engine{clock: clock, faults: f, batch: newBatch(o), events: newEventLog(o, clock), load: newLoadHistory(o.LoadLag, clock)}
	e.batch.cache.changed = e.events.add
	return e
}

// submit queues a sequence. Its tokens are sent on s.out, which is closed when the sequence ends or is
// cancelled.
func (e *engine) submit(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.add(s)
	e.recordLoad()
	if !e.loopRunning {
		e.loopRunning = true
		go e.loop()
	}
}

// loop runs steps until the engine is idle.
func (e *engine) loop() {
	for {
		e.mu.Lock()
		took := e.batch.step()
		e.recordLoad()
		if e.batch.idle() {
			e.loopRunning = false
			e.mu.Unlock()
			return
		}
		e.mu.Unlock()
		e.clock.Sleep(e.faults.scaled(took))
		e.mu.Lock()
		e.batch.finish()
		e.recordLoad()
		e.mu.Unlock()
	}
}

func (e *engine) recordLoad() {
	e.load.add(Load{Queued: len(e.batch.waiting), Running: len(e.batch.running), KVUsed: e.batch.used(), KVCapacity: e.batch.opts.CacheBlocks})
}

// reset evicts all cached prefixes.
func (e *engine) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.cache.Shrink(0)
}

// export returns the leading blocks of a chain that are cached, after the transfer time.
func (e *engine) export(ctx context.Context, chain []Block) []Block {
	e.mu.Lock()
	held := chain[:e.batch.cache.Match(chain)]
	e.mu.Unlock()
	e.transfer(ctx, len(held))
	return held
}

// importBlocks stores blocks that another engine exported.
func (e *engine) importBlocks(ctx context.Context, chain []Block) {
	e.transfer(ctx, len(chain))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.cache.Store(chain)
	e.batch.makeRoom()
}

func (e *engine) transfer(ctx context.Context, blocks int) {
	sleep(ctx, e.clock, e.faults.scaled(time.Duration(blocks)*e.batch.opts.TransferDelay))
}

// sleep waits for d and reports false if ctx ended first.
func sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}
