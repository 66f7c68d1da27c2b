package quarantine

import "time"

// soundOf returns the map of sound parts or requests in which a key belongs.
func (q *Quarantine) soundOf(key string) map[string]time.Time {
	if isRequestKey(key) {
		return q.soundRequests
	}
	return q.soundParts
}

// setSound records a complete response at the given time to a request with a key.
func (q *Quarantine) setSound(key string, at time.Time) {
	sound := q.soundOf(key)
	if at.Before(sound[key]) {
		return
	}
	if _, ok := sound[key]; !ok && len(sound) >= maxSound {
		dropSound(sound, at)
	}
	sound[key] = at
	if q.quarantined[key] == nil && !q.suspected[key] {
		return
	}
	told := q.removeSuspicion(key)
	if q.quarantined[key] != nil {
		told = true
		delete(q.quarantined, key)
		q.publish()
		q.options.Log.Info().Str("Key", key).Msg("answered completely, quarantine lifted")
	}
	if told {
		q.announceSound(key, at)
	}
}

// dropSound removes the expired keys from sound, and any others until a quarter of the room is free.
func dropSound(sound map[string]time.Time, now time.Time) {
	for key, at := range sound {
		if now.Sub(at) > soundTTL {
			delete(sound, key)
		}
	}
	for key := range sound {
		if len(sound) <= maxSound*3/4 {
			return
		}
		delete(sound, key)
	}
}

// announceSound tells other processes that a part or a request is sound.
func (q *Quarantine) announceSound(key string, at time.Time) {
	_, known := q.cleared[key]
	if !known && len(q.cleared) >= maxQuarantined {
		return
	}
	q.cleared[key] = at
	if !known {
		q.notify()
	}
}

func (q *Quarantine) isSound(key string, now time.Time) bool {
	at, ok := q.soundOf(key)[key]
	return ok && now.Sub(at) <= soundTTL
}
