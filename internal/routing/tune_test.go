package routing

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
)

func TestTune(t *testing.T) {
	if os.Getenv("TUNE") == "" {
		t.Skip()
	}
	capacity := simCapacity()
	loads := []int{22, 45, 67, 75, 97, 130}
	if k := os.Getenv("KEY"); k != "" {
		keyBlocks, _ = strconv.Atoi(k)
	}
	if k := os.Getenv("WEIGHT"); k != "" {
		weighted, _ = strconv.ParseFloat(k, 64)
	}
	variants := []string{}
	for _, v := range strings.Fields(os.Getenv("TUNE")) {
		variants = append(variants, v)
	}
	out := make([][]string, len(variants))
	var wg sync.WaitGroup
	sem := make(chan bool, 6)
	for i, v := range variants {
		out[i] = make([]string, len(loads))
		for j, l := range loads {
			wg.Add(1)
			go func() {
				defer wg.Done()
				sem <- true
				defer func() { <-sem }()
				cfg, refuse := Config{}, false
				w := DefaultWeights
				cfg.Weights = &w
				for _, kv := range strings.Split(v, ",") {
					k, val, _ := strings.Cut(kv, "=")
					x, _ := strconv.ParseFloat(val, 64)
					switch k {
					case "policy":
						cfg.Policy = PolicyName(val)
					case "refuse":
						refuse = true
					case "load":
						w.Load = x
					case "owner":
						w.Owner = x
					case "rec":
						w.Recompute = x
					case "wait":
						w.Wait = x
					case "miss":
						w.Miss = x
					case "pace":
						w.Pace = x
					case "price":
						w.Price = x
					case "near":
						cfg.NearEqual = x
					}
				}
				f := simRun(cfg, refuse, simLoad(capacity*float64(l)/100))
				out[i][j] = fmt.Sprintf("%3d: %5.1f%% rec %4.1f%% $%.3f %v ref %d pred %.2f over %.2f under %.2f", l, 100*float64(f.good)/float64(f.counted), 100*float64(f.recomputed)/float64(f.prompt), 1000*f.busy/3600/float64(f.good), f.why, f.refused, float64(f.predicted)/float64(f.prompt), float64(f.over)/float64(f.prompt), float64(f.under)/float64(f.prompt))
			}()
		}
	}
	wg.Wait()
	for i, v := range variants {
		fmt.Println(v)
		for _, o := range out[i] {
			fmt.Println("   ", o)
		}
	}
}
