package codes

// Results of idempotency keys (5000 to 5999).
const (
	KeyStoreUnavailable  Code = 5001
	KeyRunning           Code = 5002
	KeyMayHaveRun        Code = 5003
	KeyMismatch          Code = 5004
	KeyReplayed          Code = 5005
	KeyAnswerNotRecorded Code = 5006
	KeyInvalid           Code = 5007
	KeyedBodyTooLarge    Code = 5008
)

var dedupTable = []Info{
	{KeyStoreUnavailable, "key_store_unavailable", "The key could not be recorded; this request was not run. An earlier request with the same key that received no response may have run.", "Retry with the same key after the stated time."},
	{KeyRunning, "key_running", "Another attempt with this key is running.", "Retry later to read its response."},
	{KeyMayHaveRun, "key_may_have_run", "An attempt with this key may have run and its response is lost.", "Check whether the work was done before using a new key."},
	{KeyMismatch, "key_mismatch", "The key was already used for a different request; this request was not run.", "Use a new key."},
	{KeyReplayed, "key_replayed", "The response is the recorded one of an earlier attempt.", "None."},
	{KeyAnswerNotRecorded, "key_answer_not_recorded", "An attempt with this key has run; its response was too large to record.", "Read the result from the service."},
	{KeyInvalid, "key_invalid", "Idempotency-Key is empty or too long.", "Correct the header."},
	{KeyedBodyTooLarge, "keyed_body_too_large", "The body of a keyed request exceeds the size that can be compared.", "Send a smaller body."},
}
