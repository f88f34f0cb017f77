package dispatch_test

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay is a TCP relay in front of a gate. It cuts the first connections after a number of bytes in one
// direction, one cut for each; later ones pass.
type relay struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	cuts []cut
}

// cut is the number of bytes per direction after which a connection breaks; negative is never.
type cut struct{ up, down int }

var noCut = cut{-1, -1}

func newRelay(t *testing.T, target string, cuts ...cut) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, target: target, cuts: cuts}
	t.Cleanup(func() { l.Close() })
	go r.serve()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) serve() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(c, r.nextCut())
	}
}

func (r *relay) nextCut() cut {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.cuts) == 0 {
		return noCut
	}
	c := r.cuts[0]
	r.cuts = r.cuts[1:]
	return c
}

func (r *relay) forward(c net.Conn, at cut) {
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	up, err := net.Dial("tcp", target)
	if err != nil {
		c.Close()
		return
	}
	var done sync.WaitGroup
	done.Add(2)
	half := func(dst, src net.Conn, limit int) {
		defer done.Done()
		if limit < 0 {
			io.Copy(dst, src)
		} else {
			io.CopyN(dst, src, int64(limit))
		}
		dst.Close()
		src.Close()
	}
	go half(up, c, at.up)
	go half(c, up, at.down)
	done.Wait()
}
