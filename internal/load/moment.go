package load

// Moment is one second of a run, by the intended send times of its requests to
// models. It shows what a fault did and for how long.
type Moment struct {
	Second       int     `json:"second"`
	Offered      int64   `json:"offered"`
	Answered     int64   `json:"answered"`
	Within       int64   `json:"within"`
	Refused      int64   `json:"refused"`
	FirstTokenMs float64 `json:"firstTokenMeanMillis"` // mean over the answered
	firstSum     float64
}
