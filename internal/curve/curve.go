// Package curve stores offered traffic over days in a bbolt file: slots of a quarter
// of an hour, aggregated into hours and days. A slot holds for how long the traffic
// was observed; an interval without observation has no slot.
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

// Resolutions are the lengths of slots in increasing order; each is a multiple of the
// previous one.
var Resolutions = []time.Duration{15 * time.Minute, time.Hour, 24 * time.Hour}

// Retention is how long slots of each resolution are kept before the newest slot; 0:
// without limit.
var Retention = []time.Duration{14 * 24 * time.Hour, 100 * 24 * time.Hour, 0}

// Key identifies the traffic of one class from one exchange to another.
type Key struct {
	Source, Dest int32
	Class        uint8
}

// Slot counts the attempts of one key in one interval of time.
type Slot struct {
	Begin           time.Duration `cbor:"-"` // of the interval, since 1970
	Attempts        int           `cbor:"1,keyasint"`
	FirstAttempts   int           `cbor:"2,keyasint"`
	Lost            int           `cbor:"3,keyasint"`
	Completed       int           `cbor:"4,keyasint"`
	HeldSeconds     float64       `cbor:"5,keyasint"` // total holding time of established calls
	ObservedSeconds float64       `cbor:"6,keyasint"`
}

func (s *Slot) add(other Slot) {
	s.Attempts += other.Attempts
	s.FirstAttempts += other.FirstAttempts
	s.Lost += other.Lost
	s.Completed += other.Completed
	s.HeldSeconds += other.HeldSeconds
	s.ObservedSeconds += other.ObservedSeconds
}

// Erlang returns the traffic of first attempts, or false if it is unknown.
func (s Slot) Erlang() (float64, bool) {
	if s.ObservedSeconds <= 0 || s.Completed == 0 {
		return 0, s.ObservedSeconds > 0 && s.Attempts == 0
	}
	return float64(s.FirstAttempts) * s.HeldSeconds / float64(s.Completed) / s.ObservedSeconds, true
}

// ErrDuplicate reports that a file of records has been added before.
var ErrDuplicate = errors.New("its records are in the curve already")

// Store is an open curve file. It is safe for concurrent use.
type Store struct{ db *bolt.DB }

var (
	filesBucket   = []byte("files")
	classesBucket = []byte("classes")
)

func slotsBucket(step int) []byte { return []byte(Resolutions[step].String()) }

// Open opens or creates a curve file. It fails after a second if another process has
// the file open.
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

// slotKey returns the key of a slot: pair and class come first, so that the slots of a
// series are adjacent and in order of time.
func slotKey(key Key, begin time.Duration) []byte {
	encoded := binary.BigEndian.AppendUint32(nil, uint32(key.Source))
	encoded = binary.BigEndian.AppendUint32(encoded, uint32(key.Dest))
	encoded = append(encoded, key.Class)
	return binary.BigEndian.AppendUint64(encoded, uint64(begin))
}

// keyPrefixBytes is the length of a slot key without the time.
const keyPrefixBytes = 9

// Add adds the attempts of one file of records atomically. The hash of the file's
// content identifies it; Add returns ErrDuplicate if it was added before. classNames
// holds the names of the classes.
func (s *Store) Add(contentHash [sha256.Size]byte, attempts []measure.CallAttempt, options measure.Options, classNames map[uint8]string) error {
	err := s.db.Update(func(tx *bolt.Tx) error {
		if tx.Bucket(filesBucket).Get(contentHash[:]) != nil {
			return ErrDuplicate
		}
		if err := tx.Bucket(filesBucket).Put(contentHash[:], []byte{1}); err != nil {
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
		for _, counted := range measure.Slots(attempts, options, Resolutions[0]) {
			key := Key(counted.Key)
			slot := Slot{
				Attempts:        counted.Attempts,
				FirstAttempts:   counted.FirstAttempts,
				Lost:            counted.Lost,
				Completed:       counted.Completed,
				HeldSeconds:     counted.HeldTime.Seconds(),
				ObservedSeconds: counted.Observed.Seconds(),
			}
			for i, step := range Resolutions {
				if err := addToSlot(tx.Bucket(slotsBucket(i)), slotKey(key, counted.Begin-counted.Begin%step), slot); err != nil {
					return err
				}
			}
			newest = max(newest, counted.Begin)
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
			return fmt.Errorf("decoding a slot: %w", err)
		}
		added.add(sum)
	}
	encoded, err := cbor.Marshal(added)
	if err != nil {
		return err
	}
	return bucket.Put(key, encoded)
}

// prune deletes the slots older than their retention.
func prune(tx *bolt.Tx, newest time.Duration) error {
	for i, keep := range Retention {
		if keep == 0 {
			continue
		}
		bucket := tx.Bucket(slotsBucket(i))
		var expired [][]byte // deleting during the iteration would skip entries
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

func sortedKeys(classNames map[uint8]string) []uint8 {
	var keys []uint8
	for k := range classNames {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Series holds the slots of one key.
type Series struct {
	Key
	Class string
	Slots []Slot // in order of time; an interval without a slot was not observed
}

// ReadSeries returns the series of the keys that include accepts, at one of the
// Resolutions, with the slots that begin in [from, to).
func (s *Store) ReadSeries(step time.Duration, from, to time.Duration, include func(Key) bool) ([]Series, error) {
	resolution := slices.Index(Resolutions, step)
	if resolution < 0 {
		return nil, fmt.Errorf("curve: no slots of %v, the resolutions are %v", step, Resolutions)
	}
	var series []Series
	err := s.db.View(func(tx *bolt.Tx) error {
		return tx.Bucket(slotsBucket(resolution)).ForEach(func(storedKey, value []byte) error {
			key := Key{int32(binary.BigEndian.Uint32(storedKey)), int32(binary.BigEndian.Uint32(storedKey[4:])), storedKey[8]}
			begin := time.Duration(binary.BigEndian.Uint64(storedKey[keyPrefixBytes:]))
			if begin < from || begin >= to || !include(key) {
				return nil
			}
			slot := Slot{}
			if err := cbor.Unmarshal(value, &slot); err != nil {
				return fmt.Errorf("decoding a slot: %w", err)
			}
			slot.Begin = begin
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

// BusiestSlots returns for each day (UTC) the slot with the most traffic, summed over
// all series. With slots of an hour this is the time-consistent busy hour.
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
