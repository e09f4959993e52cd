package placement

import "math"

// horizons are the numbers of tokens ahead at which memory is forecast.
var horizons = [...]int{16, 64, 128, 256, 512, 1024, 2048, 4096}

// deviations scales z at each horizon. Near horizons get more headroom: nothing can be done
// any more about what is forecast there, while granting less still relieves the far ones.
var deviations = [len(horizons)]float64{1.5, 1.36, 1.21, 1.07, 0.93, 0.79, 0.64, 0.5}

// footprint is the mean and variance of the memory, in tokens, that generations need at each
// horizon.
type footprint struct {
	mean     [len(horizons)]float64
	variance [len(horizons)]float64
}

// footprintOf forecasts a generation from its current and its maximum length.
func footprintOf(c *curve, prompt, tokens, most int) footprint {
	var f footprint
	now := c.longer(tokens)
	for i, h := range horizons {
		if tokens+h >= most {
			break
		}
		s := c.longer(tokens+h) / now
		m := float64(prompt + tokens + h)
		f.mean[i] = s * m
		f.variance[i] = s * (1 - s) * m * m
	}
	return f
}

func (f *footprint) add(o *footprint) {
	for i := range horizons {
		f.mean[i] += o.mean[i]
		f.variance[i] += o.variance[i]
	}
}

func (f *footprint) subtract(o *footprint) {
	for i := range horizons {
		f.mean[i] = max(f.mean[i]-o.mean[i], 0)
		f.variance[i] = max(f.variance[i]-o.variance[i], 0)
	}
}

// peak returns the highest need over all horizons with z standard deviations of headroom.
func (f *footprint) peak(z float64) float64 {
	most := 0.0
	for i := range horizons {
		most = max(most, f.mean[i]+z*deviations[i]*math.Sqrt(f.variance[i]))
	}
	return most
}

// fits reports whether another generation stays under a limit at every horizon.
func (f *footprint) fits(o *footprint, z, limit float64) bool {
	for i := range horizons {
		if f.mean[i]+o.mean[i]+z*deviations[i]*math.Sqrt(f.variance[i]+o.variance[i]) > limit {
			return false
		}
	}
	return true
}
