package order

// pausePoint is a point in the processing of an order at which tests pause or stop a process.
type pausePoint string

// Pause points, in the order in which Execute and Resolve reach them.
const (
	beforeOpen    pausePoint = "before-open"
	afterOpen     pausePoint = "after-open"
	beforeAdopt   pausePoint = "before-adopt"
	afterWithhold pausePoint = "after-withhold"
	beforeSend    pausePoint = "before-send"
	afterSend     pausePoint = "after-send"
	beforeClose   pausePoint = "before-close"
)

// guard is a step that one of the package's guarantees depends on. Tests disable one to show
// that their checks detect a violation.
type guard string

// Guards that tests can disable.
const (
	guardWithhold guard = "withhold"
	guardAccount  guard = "account"
	guardConfirm  guard = "confirm"
	guardResolve  guard = "resolve"
)

// faults are set only by tests of this package. The zero value has no effect.
type faults struct {
	// pause is called at each pause point and may block.
	pause         func(pausePoint)
	disabledGuard guard
}

func (f faults) at(p pausePoint) {
	if f.pause != nil {
		f.pause(p)
	}
}

func (f faults) disabled(g guard) bool { return f.disabledGuard == g }
