package main

import (
	"bufio"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = memoryCase }

// memoryCase: bad clients send hundreds of large set-ups at once.
func memoryCase(s *scenario) {
	limitMB, rude := 32, 20
	if n, err := strconv.Atoi(os.Getenv("MEMORY_MB")); err == nil { // for a look at other limits
		limitMB = n
	}
	if n, err := strconv.Atoi(os.Getenv("CLIENTS")); err == nil {
		rude = n
	}
	const atOnce, size, length = 300, 15_900, 20 * time.Second
	d := s.deployWithMemory(5, limitMB, func(_ int, x *exchange) string { return x.addr() })
	d.exchanges[2].noCircuits()
	for _, x := range d.exchanges {
		x.hold = func(string) time.Duration { return 4 * time.Second }
	}
	time.Sleep(time.Second)
	_, peak, _ := d.control.memoryKB()
	s.note("memory at rest: %d kB at most", peak)
	var over atomic.Bool
	var replies, rounds atomic.Int64
	description := make([]byte, size)
	if s.trouble {
		s.note("%d bad clients come, with %d set-ups of %d bytes at once each", rude, atOnce, size)
		for i := range rude {
			go func() {
				for id := uint64(i+1) << 40; !over.Load(); {
					conn, err := net.Dial("tcp", d.control.addr)
					if err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
					go func() {
						for reader := bufio.NewReader(conn); ; replies.Add(1) {
							if _, err := decode(reader); err != nil {
								return
							}
						}
					}()
					rounds.Add(1)
					for range atOnce {
						id++
						if _, err := conn.Write(setUpMessage(id, "grid-fetch", 9*time.Second, figures(2, 1), description)); err != nil {
							break
						}
					}
					time.Sleep(1500 * time.Millisecond)
					conn.Close()
				}
			}()
		}
	}
	most, mostAnonymous := 0, 0
	for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
		if i%10 == 0 && !d.caller.isClosed() {
			d.caller.setUp("answer-check", 1800*time.Millisecond, figures([]int{1, 3, 4}[i/10%3], 1))
		}
		now, _, anonymous := d.control.memoryKB()
		if now > most {
			most = now
			s.note("memory %d kB, %d kB of it no file's", now, anonymous)
		}
		mostAnonymous = max(mostAnonymous, anonymous)
		time.Sleep(5 * time.Millisecond)
	}
	over.Store(true)
	_, peak, _ = d.control.memoryKB()
	s.note("memory: %d kB at most by the system's own count, %d kB no file's at most; the bad clients sent %d rounds and got %d replies", peak, mostAnonymous, rounds.Load(), replies.Load())
	if peak > limitMB<<10 {
		s.breach("the controller held %d kB, over the limit of %d MB: the platform kills it", peak, limitMB)
	}
}
