package forecast

// line is the least-squares regression of the run time on the caller's budget, in seconds.
// After the first window points, each point has a weight of 1/window.
type line struct {
	points float64
	// x and y are the means of the budgets and run times.
	x, y float64
	// varianceX is the variance of x, covariance that of x and y.
	varianceX, covariance float64
	// skipped counts consecutive skipped points.
	skipped int
}

// maxSkipped is how many consecutive points may be skipped. Beyond that the callers have
// changed, and the line is reset.
const maxSkipped = 20

func (l *line) add(x, y float64) {
	l.skipped = 0
	l.points = min(l.points+1, window)
	share := 1 / l.points
	offX, offY := x-l.x, y-l.y
	l.x += share * offX
	l.y += share * offY
	l.varianceX = (1 - share) * (l.varianceX + share*offX*offX)
	l.covariance = (1 - share) * (l.covariance + share*offX*offY)
}

// skip counts a skipped point and reports whether there are too many in a row.
func (l *line) skip() bool {
	l.skipped++
	return l.skipped > maxSkipped
}

func (l *line) slope() float64 {
	if l.varianceX <= 0 {
		return 0
	}
	return max(0, l.covariance/l.varianceX)
}

// predict returns y at x, which is the mean of y if y does not rise with x.
func (l *line) predict(x float64) float64 { return l.y + l.slope()*(x-l.x) }
