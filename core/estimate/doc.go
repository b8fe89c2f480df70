// Package estimate predicts how long a target takes for a request: the delay until
// the first token, the time between tokens and the delay until the whole answer.
//
// A load report is old when it is used. The prediction therefore lets the reported
// queue drain for the age of the report and adds what this instance has sent since.
// Rates are learned from observed answers.
package estimate
