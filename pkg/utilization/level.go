package utilization

// Level is a coarse share in use, as boxes tell each other: it takes two bits.
type Level uint8

// The levels.
const (
	// Free is also told by a box that does not know the sizes of its machine.
	Free Level = iota
	// Busy is from 70%, Crowded from 80% and Full from 90% of any resource.
	Busy
	Crowded
	Full
)

// String returns the name of the level.
func (l Level) String() string { return [...]string{"free", "busy", "crowded", "full"}[l&3] }

// levelFrom are the shares from which the levels begin, and levelMargin is by how much a share
// must fall below one before the level ends, so that levels do not alternate.
var levelFrom = [...]float64{Free: 0, Busy: 0.7, Crowded: 0.8, Full: 0.9}

const levelMargin = 0.05

// LevelOf returns the level of a share, given the former level.
func LevelOf(share float64, former Level) Level {
	level := Free
	for l := Busy; l <= Full; l++ {
		from := levelFrom[l]
		if l <= former {
			from -= levelMargin
		}
		if share >= from {
			level = l
		}
	}
	return level
}
