package speed

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("speed")

// Mode says whether the speeds of endpoints are estimated.
type Mode uint8

// The modes. ModeAuto estimates them and takes speeds within a band around the median for usual;
// ModeOn has no band.
const (
	ModeAuto Mode = iota
	ModeOn
	ModeOff
)

// ParseMode returns the mode of a setting; the empty text is auto.
func ParseMode(text string) (Mode, error) {
	switch text {
	case "", "auto":
		return ModeAuto, nil
	case "on":
		return ModeOn, nil
	case "off":
		return ModeOff, nil
	default:
		return ModeAuto, Error.New("%q is not auto, on or off", text)
	}
}
