package placement

import "math"

// horizons are the points at which memory is forecast, in output tokens from now.
var horizons = [...]int{16, 64, 128, 256, 512, 1024, 2048, 4096}

// zScale scales z at each horizon. Near horizons get more headroom: a shortage there can no
// longer be averted, while one at a far horizon can, by granting less.
var zScale = [len(horizons)]float64{1.5, 1.36, 1.21, 1.07, 0.93, 0.79, 0.64, 0.5}

// footprint holds the mean and variance of the memory, in tokens, that generations need at each
// horizon.
type footprint struct {
	mean     [len(horizons)]float64
	variance [len(horizons)]float64
}

// footprintOf forecasts the memory of a generation from its current and its maximum length.
func footprintOf(c *curve, prompt, tokens, maxTokens int) footprint {
	var f footprint
	now := c.survivalAt(tokens)
	for i, h := range horizons {
		if tokens+h >= maxTokens {
			break
		}
		s := c.survivalAt(tokens+h) / now
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

// peak returns the highest need over all horizons, with z standard deviations of headroom.
func (f *footprint) peak(z float64) float64 {
	peak := 0.0
	for i := range horizons {
		peak = max(peak, f.mean[i]+z*zScale[i]*math.Sqrt(f.variance[i]))
	}
	return peak
}

// fits reports whether the need stays within a limit at every horizon if another footprint is
// added.
func (f *footprint) fits(o *footprint, z, limit float64) bool {
	for i := range horizons {
		if f.mean[i]+o.mean[i]+z*zScale[i]*math.Sqrt(f.variance[i]+o.variance[i]) > limit {
			return false
		}
	}
	return true
}
