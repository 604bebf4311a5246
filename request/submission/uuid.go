package submission

import (
	"time"

	"github.com/google/uuid"
)

// MadeAt returns when a UUIDv7 key was made. Other keys do not tell.
func KeyCreatedAt(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	return time.Unix(id.Time().UnixTime()), true
}
