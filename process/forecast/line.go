package forecast

// line is the straight line through points of patience and run time, in seconds, by
// least squares. Later points weigh 1/early each.
type line struct {
	points float64
	x, y   float64
	// varianceX is the variance of x, common the covariance of x and y.
	varianceX, covariance float64
	// skipped counts points in a row that were left out.
	skipped int
}

// maxSkipped is how many points in a row may be left out: then the callers have changed,
// and the line has to begin anew.
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

// skip notes a point that was left out, and reports whether these are too many.
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

// predict returns y on the line; the mean where x says nothing.
func (l *line) predict(x float64) float64 { return l.y + l.slope()*(x-l.x) }
