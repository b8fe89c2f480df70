package fleet

// Line is a least-squares fit of one measured value over the number of instances.
type Line struct {
	// Base is the value at 0 instances, Slope the increase per instance.
	Base, Slope float64
}

// At returns the value of the line at a number of instances.
func (l Line) At(instances float64) float64 { return l.Base + l.Slope*instances }

// Fit fits a line to one value of the measurements. The line is flat if all measurements
// have the same number of instances.
func Fit(measurements []Measurement, value func(Measurement) float64) Line {
	n := float64(len(measurements))
	var sumX, sumY, sumXX, sumXY float64
	for _, m := range measurements {
		x, y := float64(m.Instances), value(m)
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
