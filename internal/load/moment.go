package load

// Moment is the figures of one second of a run, of the requests to models whose
// intended send time is in it. They show the effect of a fault and its duration.
type Moment struct {
	Second        int     `json:"second"`
	Offered       int64   `json:"offered"`
	Answered      int64   `json:"answered"`
	Within        int64   `json:"within"`
	Refused       int64   `json:"refused"`
	FirstTokenMs  float64 `json:"firstTokenMeanMillis"` // mean over the answered
	firstTokenSum float64 // sum in milliseconds over the answered
}
