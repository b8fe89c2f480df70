// Package standin groups small fakes of the systems around gorseline, with
// controls that bring about their failures.
package standin
