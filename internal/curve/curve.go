// Package curve keeps offered traffic over days: slots of a quarter of an hour,
// rolled up into hours and days, in one bbolt file. A slot tells for how long it
// was watched; where nobody watched there is no slot, and a gap stays a gap.
package curve

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"

	"dahliaspindle/internal/measure"
)

// Resolutions are the lengths of slots, shortest first; each is rolled up into the next.
var Resolutions = []time.Duration{15 * time.Minute, time.Hour, 24 * time.Hour}

// Retention is for how long slots of each step are kept, back from the newest of all; 0: for ever.
var Retention = []time.Duration{14 * 24 * time.Hour, 100 * 24 * time.Hour, 0}

// Key is one pair and class.
type Key struct {
	Source, Dest int32
	Class        uint8
}

// Slot is what was seen of a key in one step of time.
type Slot struct {
	Begin           time.Duration `cbor:"-"` // its begin, since 1970
	Attempts        int           `cbor:"1,keyasint"`
	FirstAttempts   int           `cbor:"2,keyasint"`
	Lost            int           `cbor:"3,keyasint"`
	Completed       int           `cbor:"4,keyasint"`
	HeldSeconds     float64       `cbor:"5,keyasint"` // seconds, of all that stood
	ObservedSeconds float64       `cbor:"6,keyasint"` // seconds
}

func (s *Slot) add(o Slot) {
	s.Attempts += o.Attempts
	s.FirstAttempts += o.FirstAttempts
	s.Lost += o.Lost
	s.Completed += o.Completed
	s.HeldSeconds += o.HeldSeconds
	s.ObservedSeconds += o.ObservedSeconds
}

// Erlang is the traffic of first tries; false where it is not known.
func (s Slot) Erlang() (float64, bool) {
	if s.ObservedSeconds <= 0 || s.Completed == 0 {
		return 0, s.ObservedSeconds > 0 && s.Attempts == 0
	}
	return float64(s.FirstAttempts) * s.HeldSeconds / float64(s.Completed) / s.ObservedSeconds, true
}

// ErrDuplicate says that this very file of records has been added before.
var ErrDuplicate = errors.New("its records are in the curve already")

// Store is the file. It is safe for concurrent use.
type Store struct{ db *bolt.DB }

var (
	files = []byte("files")
	names = []byte("classes")
)

func bucket(step int) []byte { return []byte(Resolutions[step].String()) }

// Open opens or makes a file. It fails within a second if another process has it.
func Open(path string) (*Store, error) {
	db, err := bolt.Open(path, 0o644, &bolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, fmt.Errorf("curve %s: %w", path, err)
	}
	err = db.Update(func(tx *bolt.Tx) error {
		for i := range Resolutions {
			if _, err := tx.CreateBucketIfNotExists(bucket(i)); err != nil {
				return err
			}
		}
		for _, b := range [][]byte{files, names} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, errors.Join(fmt.Errorf("curve %s: %w", path, err), db.Close())
	}
	return &Store{db}, nil
}

// Close closes the file.
func (s *Store) Close() error {
	if err := s.db.Close(); err != nil {
		return fmt.Errorf("curve: %w", err)
	}
	return nil
}

// place is a slot's key: pair and class first, so that a curve lies together, in order of time.
func place(k Key, at time.Duration) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(k.Source))
	b = binary.BigEndian.AppendUint32(b, uint32(k.Dest))
	b = append(b, k.Class)
	return binary.BigEndian.AppendUint64(b, uint64(at))
}

const prefix = 9 // of a place, without its time

// Add books the tries of one file of records, all or nothing: what source is the
// content of the file, by its hash, is taken once only. class names the classes.
func (s *Store) Add(content [sha256.Size]byte, tries []measure.CallAttempt, o measure.Options, class map[uint8]string) error {
	err := s.db.Update(func(tx *bolt.Tx) error {
		if tx.Bucket(files).Get(content[:]) != nil {
			return ErrDuplicate
		}
		if err := tx.Bucket(files).Put(content[:], []byte{1}); err != nil {
			return err
		}
		for _, n := range sorted(class) {
			if was := tx.Bucket(names).Get([]byte{n}); was != nil && string(was) != class[n] {
				return fmt.Errorf("class %d is %q here and %q in the curve", n, class[n], was)
			}
			if err := tx.Bucket(names).Put([]byte{n}, []byte(class[n])); err != nil {
				return err
			}
		}
		newest := time.Duration(0)
		for _, x := range measure.Slots(tries, o, Resolutions[0]) {
			k := Key(x.Key)
			slot := Slot{Attempts: x.Attempts, FirstAttempts: x.FirstAttempts, Lost: x.Lost, Completed: x.Completed, HeldSeconds: x.HeldTime.Seconds(), ObservedSeconds: x.Observed.Seconds()}
			for i, step := range Resolutions {
				if err := put(tx.Bucket(bucket(i)), place(k, x.Begin-x.Begin%step), slot); err != nil {
					return err
				}
			}
			newest = max(newest, x.Begin)
		}
		return prune(tx, newest)
	})
	if err != nil {
		return fmt.Errorf("adding to the curve: %w", err)
	}
	return nil
}

func put(b *bolt.Bucket, at []byte, add Slot) error {
	if old := b.Get(at); old != nil {
		var s Slot
		if err := cbor.Unmarshal(old, &s); err != nil {
			return fmt.Errorf("a slot that can't be read: %w", err)
		}
		add.add(s)
	}
	v, err := cbor.Marshal(add)
	if err != nil {
		return err
	}
	return b.Put(at, v)
}

// prune forgets what is older than it is kept.
func prune(tx *bolt.Tx, newest time.Duration) error {
	for i, keep := range Retention {
		if keep == 0 {
			continue
		}
		b := tx.Bucket(bucket(i))
		var old [][]byte // deleting under a cursor makes it miss its next
		err := b.ForEach(func(k, _ []byte) error {
			if time.Duration(binary.BigEndian.Uint64(k[prefix:])) < newest-keep {
				old = append(old, bytes.Clone(k))
			}
			return nil
		})
		for _, k := range old {
			err = errors.Join(err, b.Delete(k))
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func sorted(m map[uint8]string) []uint8 {
	var all []uint8
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// Series is the curve of one key.
type Series struct {
	Key
	Class string
	Slots []Slot // in order of time; where one is missing, nobody watched
}

// ReadSeries tells curves by one of the Steps, from a time to before another; want picks keys.
func (s *Store) ReadSeries(step time.Duration, from, to time.Duration, want func(Key) bool) ([]Series, error) {
	i := slices.Index(Resolutions, step)
	if i < 0 {
		return nil, fmt.Errorf("curve: slots of %v are not kept, those of %v are", step, Resolutions)
	}
	var all []Series
	err := s.db.View(func(tx *bolt.Tx) error {
		return tx.Bucket(bucket(i)).ForEach(func(at, v []byte) error {
			k := Key{int32(binary.BigEndian.Uint32(at)), int32(binary.BigEndian.Uint32(at[4:])), at[8]}
			t := time.Duration(binary.BigEndian.Uint64(at[prefix:]))
			if t < from || t >= to || !want(k) {
				return nil
			}
			slot := Slot{}
			if err := cbor.Unmarshal(v, &slot); err != nil {
				return fmt.Errorf("a slot that can't be read: %w", err)
			}
			slot.Begin = t
			if len(all) == 0 || all[len(all)-1].Key != k {
				all = append(all, Series{Key: k, Class: string(bytes.Clone(tx.Bucket(names).Get([]byte{k.Class})))})
			}
			l := &all[len(all)-1]
			l.Slots = append(l.Slots, slot)
			return nil
		})
	})
	if err != nil {
		return nil, fmt.Errorf("reading the curve: %w", err)
	}
	return all, nil
}

// BusiestSlots is the slot of each day in which all lines together offered most, the
// time-consistent busy hour where slots are hours; days are those of UTC.
func BusiestSlots(lines []Series) []Slot {
	sums := map[time.Duration]float64{}
	slots := map[time.Duration]Slot{}
	for _, l := range lines {
		for _, s := range l.Slots {
			if e, ok := s.Erlang(); ok {
				sums[s.Begin] += e
			}
			at := slots[s.Begin]
			at.add(s)
			at.Begin = s.Begin
			slots[s.Begin] = at
		}
	}
	best := map[time.Duration]time.Duration{}
	for at, e := range sums {
		day := at - at%(24*time.Hour)
		if was, ok := best[day]; !ok || e > sums[was] || e == sums[was] && at < was {
			best[day] = at
		}
	}
	var all []Slot
	for _, at := range best {
		all = append(all, slots[at])
	}
	slices.SortFunc(all, func(a, b Slot) int { return cmp.Compare(a.Begin, b.Begin) })
	return all
}
