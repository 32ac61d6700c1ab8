package integration
import ("testing";"time")
func TestTmpSpread(t *testing.T) {
	o := nine()
	c := deploy(t, o)
	for i := range 6 {
		at := time.Now()
		v := c.amend(t, i, "x", withFirstToken(1000+i))
		acc := time.Now()
		seen := make([]time.Duration, len(c.entries))
		for {
			n := 0
			for k, p := range c.entries {
				if seen[k] == 0 && p.inForce() >= v { seen[k] = time.Since(acc) }
				if seen[k] > 0 { n++ }
			}
			if n == len(seen) { break }
		}
		t.Log(acc.Sub(at), seen)
		time.Sleep(time.Duration(i)*time.Second)
	}
}
