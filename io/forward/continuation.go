package forward

import "github.com/apex/log"

// addContinuation adds to the fields of a log line which stream a request continues, and after
// which event.
func (r *activeRequest) addContinuation(fields log.Fields) {
	if r.req.ResumeAfter == "" {
		return
	}
	fields["Resumes"], fields["After"] = r.req.StreamRequest(), r.req.ResumeAfter
}
