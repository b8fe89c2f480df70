package fleet

// Line is a least-squares line through measurements.
type Line struct {
	// Base is the value at 0 instances, Slope the growth per instance.
	Base, Slope float64
}

// At returns the value of the line for a number of instances.
func (l Line) At(instances float64) float64 { return l.Base + l.Slope*instances }

// Fit fits a line to one figure. With a single measurement it is flat.
func Fit(list []Measurement, value func(Measurement) float64) Line {
	n := float64(len(list))
	var sumX, sumY, sumXX, sumXY float64
	for _, f := range list {
		x, y := float64(f.Instances), value(f)
		sumX += x
		sumY += y
		sumXX += x * x
		sumXY += x * y
	}
	spread := n*sumXX - sumX*sumX
	if spread == 0 {
		return Line{Base: sumY / n}
	}
	slope := (n*sumXY - sumX*sumY) / spread
	return Line{Base: (sumY - slope*sumX) / n, Slope: slope}
}
