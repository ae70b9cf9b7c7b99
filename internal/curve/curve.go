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

func (s *Slot) add(other Slot) {
	s.Attempts += other.Attempts
	s.FirstAttempts += other.FirstAttempts
	s.Lost += other.Lost
	s.Completed += other.Completed
	s.HeldSeconds += other.HeldSeconds
	s.ObservedSeconds += other.ObservedSeconds
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
	filesBucket   = []byte("files")
	classesBucket = []byte("classes")
)

func slotsBucket(step int) []byte { return []byte(Resolutions[step].String()) }

// Open opens or makes a file. It fails within a second if another process has it.
func Open(path string) (*Store, error) {
	db, err := bolt.Open(path, 0o644, &bolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, fmt.Errorf("curve %s: %w", path, err)
	}
	err = db.Update(func(tx *bolt.Tx) error {
		for i := range Resolutions {
			if _, err := tx.CreateBucketIfNotExists(slotsBucket(i)); err != nil {
				return err
			}
		}
		for _, b := range [][]byte{filesBucket, classesBucket} {
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

// slotKey is a slot's key: pair and class first, so that a curve lies together, in order of time.
func slotKey(k Key, at time.Duration) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(k.Source))
	b = binary.BigEndian.AppendUint32(b, uint32(k.Dest))
	b = append(b, k.Class)
	return binary.BigEndian.AppendUint64(b, uint64(at))
}

const keyPrefixBytes = 9 // of a place, without its time

// Add books the tries of one file of records, all or nothing: what source is the
// content of the file, by its hash, is taken once only. class names the classes.
func (s *Store) Add(content [sha256.Size]byte, attempts []measure.CallAttempt, options measure.Options, classNames map[uint8]string) error {
	err := s.db.Update(func(tx *bolt.Tx) error {
		if tx.Bucket(filesBucket).Get(content[:]) != nil {
			return ErrDuplicate
		}
		if err := tx.Bucket(filesBucket).Put(content[:], []byte{1}); err != nil {
			return err
		}
		for _, number := range sortedKeys(classNames) {
			if known := tx.Bucket(classesBucket).Get([]byte{number}); known != nil && string(known) != classNames[number] {
				return fmt.Errorf("class %d is %q here and %q in the curve", number, classNames[number], known)
			}
			if err := tx.Bucket(classesBucket).Put([]byte{number}, []byte(classNames[number])); err != nil {
				return err
			}
		}
		newest := time.Duration(0)
		for _, x := range measure.Slots(attempts, options, Resolutions[0]) {
			k := Key(x.Key)
			slot := Slot{Attempts: x.Attempts, FirstAttempts: x.FirstAttempts, Lost: x.Lost, Completed: x.Completed, HeldSeconds: x.HeldTime.Seconds(), ObservedSeconds: x.Observed.Seconds()}
			for i, step := range Resolutions {
				if err := addToSlot(tx.Bucket(slotsBucket(i)), slotKey(k, x.Begin-x.Begin%step), slot); err != nil {
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

func addToSlot(bucket *bolt.Bucket, key []byte, added Slot) error {
	if stored := bucket.Get(key); stored != nil {
		var sum Slot
		if err := cbor.Unmarshal(stored, &sum); err != nil {
			return fmt.Errorf("a slot that can't be read: %w", err)
		}
		added.add(sum)
	}
	encoded, err := cbor.Marshal(added)
	if err != nil {
		return err
	}
	return bucket.Put(key, encoded)
}

// prune forgets what is older than it is kept.
func prune(tx *bolt.Tx, newest time.Duration) error {
	for i, keep := range Retention {
		if keep == 0 {
			continue
		}
		bucket := tx.Bucket(slotsBucket(i))
		var expired [][]byte // deleting under a cursor makes it miss its next
		err := bucket.ForEach(func(k, _ []byte) error {
			if time.Duration(binary.BigEndian.Uint64(k[keyPrefixBytes:])) < newest-keep {
				expired = append(expired, bytes.Clone(k))
			}
			return nil
		})
		for _, k := range expired {
			err = errors.Join(err, bucket.Delete(k))
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func sortedKeys(m map[uint8]string) []uint8 {
	var keys []uint8
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Series is the curve of one key.
type Series struct {
	Key
	Class string
	Slots []Slot // in order of time; where one is missing, nobody watched
}

// ReadSeries tells curves by one of the Steps, from a time to before another; want picks keys.
func (s *Store) ReadSeries(step time.Duration, from, to time.Duration, include func(Key) bool) ([]Series, error) {
	resolution := slices.Index(Resolutions, step)
	if resolution < 0 {
		return nil, fmt.Errorf("curve: slots of %v are not kept, those of %v are", step, Resolutions)
	}
	var series []Series
	err := s.db.View(func(tx *bolt.Tx) error {
		return tx.Bucket(slotsBucket(resolution)).ForEach(func(at, v []byte) error {
			key := Key{int32(binary.BigEndian.Uint32(at)), int32(binary.BigEndian.Uint32(at[4:])), at[8]}
			t := time.Duration(binary.BigEndian.Uint64(at[keyPrefixBytes:]))
			if t < from || t >= to || !include(key) {
				return nil
			}
			slot := Slot{}
			if err := cbor.Unmarshal(v, &slot); err != nil {
				return fmt.Errorf("a slot that can't be read: %w", err)
			}
			slot.Begin = t
			if len(series) == 0 || series[len(series)-1].Key != key {
				series = append(series, Series{Key: key, Class: string(bytes.Clone(tx.Bucket(classesBucket).Get([]byte{key.Class})))})
			}
			current := &series[len(series)-1]
			current.Slots = append(current.Slots, slot)
			return nil
		})
	})
	if err != nil {
		return nil, fmt.Errorf("reading the curve: %w", err)
	}
	return series, nil
}

// BusiestSlots is the slot of each day in which all lines together offered most, the
// time-consistent busy hour where slots are hours; days are those of UTC.
func BusiestSlots(series []Series) []Slot {
	traffic := map[time.Duration]float64{}
	slots := map[time.Duration]Slot{}
	for _, line := range series {
		for _, s := range line.Slots {
			if erlang, ok := s.Erlang(); ok {
				traffic[s.Begin] += erlang
			}
			at := slots[s.Begin]
			at.add(s)
			at.Begin = s.Begin
			slots[s.Begin] = at
		}
	}
	busiest := map[time.Duration]time.Duration{}
	for at, e := range traffic {
		day := at - at%(24*time.Hour)
		if previous, ok := busiest[day]; !ok || e > traffic[previous] || e == traffic[previous] && at < previous {
			busiest[day] = at
		}
	}
	var sorted []Slot
	for _, at := range busiest {
		sorted = append(sorted, slots[at])
	}
	slices.SortFunc(sorted, func(a, b Slot) int { return cmp.Compare(a.Begin, b.Begin) })
	return sorted
}
