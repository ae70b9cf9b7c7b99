package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["short-length"] = shortLength }

// shortLength: some good answers arrive with a length that leaves out the last line of the description. Rule:
// no answer brings what no exchange made for the call, unless the client can tell.
func shortLength(w *world) int {
	size := 10000
	if s, err := strconv.Atoi(os.Getenv("SIZE")); err == nil {
		size = s
	}
	var mu sync.Mutex
	made := map[string]string{}
	spoilt := map[string]bool{}
	random := rand.New(rand.NewPCG(5, 6))
	for _, x := range w.exchanges {
		x.describe = func(id string) string {
			var b strings.Builder
			fmt.Fprintf(&b, "%s\r\nc=IN IP4 10.9.9.9\r\nm=audio 40000 RTP/AVP 0\r\n", id)
			for i := 0; b.Len() < size; i++ {
				fmt.Fprintf(&b, "a=candidate:%d 1 UDP %d 10.9.%d.%d %d typ host\r\n", i, 2130706431-i, i/250, i%250, 40000+i)
			}
			mu.Lock()
			defer mu.Unlock()
			made[id] = b.String()
			return b.String()
		}
		x.spoil = func(id, message, body string) string {
			mu.Lock()
			defer mu.Unlock()
			if !w.trouble || random.Float64() > 0.05 {
				return message
			}
			spoilt[id] = true
			cut := strings.LastIndex(body[:len(body)-2], "\r\n") + 2
			w.rec.logf("%s: the answer %s arrives spoilt: its length is %d in place of %d", x.name, id, cut, len(body))
			return strings.Replace(message, fmt.Sprintf("Content-Length: %d\r\n", len(body)), fmt.Sprintf("Content-Length: %d\r\n", cut), 1)
		}
	}
	w.offer(25, func(r *rand.Rand) int { return 1 + r.IntN(5) })
	time.Sleep(25 * time.Second)
	close(w.stopLoad)
	w.load.Wait()
	time.Sleep(4 * time.Second)
	stood, wrong := 0, 0
	for _, k := range w.callers.snapshot() {
		if k.stoodAt.IsZero() {
			continue
		}
		stood++
		id := hex16(k.id)
		if k.answerBody != made[id] {
			wrong++
			w.rec.logf("call %s: the client got a description of %d bytes, the exchange made one of %d", id, len(k.answerBody), len(made[id]))
		}
	}
	w.rec.say("%d calls stood; %d answers arrived spoilt; %d clients got a description that no exchange made", stood, len(spoilt), wrong)
	switch {
	case stood < 100:
		return failed
	case wrong > 0:
		return broken
	}
	return held
}
