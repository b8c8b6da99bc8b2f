package deduplicator

import (
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// maxNameLength is the maximum length of entry names in the settings.
const maxNameLength = 63

// uuidVersion is the only UUID version that holds a creation time in milliseconds.
const uuidVersion = 7

// Key identifies a once-only request by a UUIDv7 and names an incarnation of the
// entry that is the witness for it.
type Key struct {
	ID                 string
	Witness            string
	WitnessIncarnation uint64
}

// String returns the canonical form of the key.
func (k Key) String() string {
	return k.ID + "@" + k.Witness + "." + strconv.FormatUint(k.WitnessIncarnation, 10)
}

// ParseKey parses `<UUIDv7>@<witness name>.<witness incarnation>`. It returns an
// error for any other text, including other forms of the same UUID.
func ParseKey(s string) (Key, error) {
	id, rest, ok := strings.Cut(s, "@")
	if !ok {
		return Key{}, errors.New("key has no witness")
	}
	dot := strings.LastIndexByte(rest, '.')
	if dot < 0 {
		return Key{}, errors.New("key has no witness incarnation")
	}
	incarnation, err := strconv.ParseUint(rest[dot+1:], 10, 64)
	if err != nil {
		return Key{}, errors.Wrap(err, "parse witness incarnation")
	}
	k := Key{ID: id, Witness: rest[:dot], WitnessIncarnation: incarnation}
	if err := k.validate(); err != nil {
		return Key{}, err
	}
	if k.String() != s {
		return Key{}, errors.New("key is not in its canonical form")
	}
	return k, nil
}

func (k Key) validate() error {
	u, err := uuid.Parse(k.ID)
	if err != nil {
		return errors.Wrap(err, "parse key identifier")
	}
	if u.Version() != uuidVersion || u.Variant() != uuid.RFC4122 {
		return errors.New("key identifier is not a UUIDv7")
	}
	if u.String() != k.ID {
		return errors.New("key identifier is not in its canonical form")
	}
	if k.Witness == "" || len(k.Witness) > maxNameLength || strings.Trim(k.Witness, nameCharacters) != "" {
		return errors.New("witness name is invalid")
	}
	return nil
}

// nameCharacters are the characters allowed in entry names.
const nameCharacters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-"

// Created returns the creation time in the key, to the millisecond. It returns the
// zero time if the key is not valid.
func (k Key) Created() time.Time {
	u, err := uuid.Parse(k.ID)
	if err != nil {
		return time.Time{}
	}
	var ms int64
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}
