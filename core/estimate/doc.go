// Package estimate predicts how long a target takes for a request: the delay until
// the first token, the time between tokens and the delay until the answer is complete.
//
// Load reports are out of date when they are used. The prediction therefore subtracts the
// work done during the age of the report and adds the work that this instance has sent
// since. Rates are learned from observed answers.
package estimate
