/* Numbered results of every function that can fail.

   The list CY_RESULTS holds the name, the number and the text of each result.
   docs/ERRORS.md repeats the list for operators; a test compares the two.
   Numbers are never reused.  */

#ifndef CY_RESULT_H
#define CY_RESULT_H

#define CY_RESULTS(X)                                                         \
  X (CY_OK, 0, "ok")                                                          \
  X (CY_E_MEMORY, 100, "out of memory")                                       \
  X (CY_E_ARGUMENT, 101, "invalid argument")                                  \
  X (CY_E_NOT_FOUND, 102, "not found")                                        \
  X (CY_E_EXISTS, 103, "already exists")                                      \
  X (CY_E_IO, 104, "input or output failed")                                  \
  X (CY_E_TIMEOUT, 105, "timed out")                                          \
  X (CY_E_CLOSED, 106, "connection closed")                                   \
  X (CY_E_AGAIN, 107, "try again")                                            \
  X (CY_E_INTERNAL, 108, "internal error")                                    \
  X (CY_E_FULL, 109, "no room")                                               \
  X (CY_E_TOO_LARGE, 110, "too large")                                        \
  X (CY_E_UNSUPPORTED, 111, "not supported")                                  \
  X (CY_E_SETTING_INVALID, 200, "setting has an invalid value")               \
  X (CY_E_SETTING_MISSING, 201, "setting is required")                        \
  X (CY_E_SETTING_UNKNOWN, 202, "setting is unknown")                         \
  X (CY_E_FRAME_MAGIC, 300, "frame does not start with the magic number")     \
  X (CY_E_FRAME_VERSION, 301, "frame version is not supported")               \
  X (CY_E_FRAME_TOO_LARGE, 302, "frame is longer than allowed")               \
  X (CY_E_FRAME_TRUNCATED, 303, "frame is truncated")                         \
  X (CY_E_FRAME_MALFORMED, 304, "frame payload is malformed")                 \
  X (CY_E_FRAME_CLUSTER, 305, "frame belongs to another cluster")             \
  X (CY_E_FRAME_AUTH, 306, "peer failed the challenge")                       \
  X (CY_E_FRAME_CHECKSUM, 307, "frame checksum differs")                      \
  X (CY_E_FRAME_UNEXPECTED, 308, "message is not allowed here")               \
  X (CY_E_DECL_SYNTAX, 400, "declaration is not valid JSON")                  \
  X (CY_E_DECL_FIELD, 401, "declaration has an invalid field")                \
  X (CY_E_DECL_REFERENCE, 402, "declaration refers to an unknown object")     \
  X (CY_E_VERSION_CONFLICT, 403, "another change was accepted first")         \
  X (CY_E_REQUEST_REUSED, 404, "request id was used for another change")      \
  X (CY_E_NOT_LEADER, 405, "this control VM is not the leader")               \
  X (CY_E_NO_QUORUM, 406, "no quorum of control VMs")                         \
  X (CY_E_OUTCOME_UNKNOWN, 407, "outcome of the change is not known yet")     \
  X (CY_E_OPERATOR_DENIED, 408, "operator token is missing or wrong")         \
  X (CY_E_AUDIT_BROKEN, 409, "audit trail does not verify")                   \
  X (CY_E_MEMBER_BUSY, 410, "another membership change is under way")         \
  X (CY_E_STORE_CORRUPT, 500, "stored data is corrupt")                       \
  X (CY_E_STORE_IDENTITY, 501, "data folder belongs to another member")       \
  X (CY_E_STORE_FULL, 502, "disk is full")                                    \
  X (CY_E_STORE_SYNC, 503, "sync to disk failed")                             \
  X (CY_E_STORE_GAP, 504, "stored log has a gap")                             \
  X (CY_E_STORE_LOCKED, 505, "data folder is in use")                         \
  X (CY_E_KEY_MISSING, 600, "no key came with the request")                   \
  X (CY_E_KEY_MALFORMED, 601, "key is malformed")                             \
  X (CY_E_KEY_UNKNOWN, 602, "key is unknown")                                 \
  X (CY_E_KEY_WITHDRAWN, 603, "key was withdrawn")                            \
  X (CY_E_KEY_EXPIRED, 604, "key has expired")                                \
  X (CY_E_KEY_MISPLACED, 605, "key came outside the Authorization header")    \
  X (CY_E_STATE_STALE, 606, "entry VM cannot confirm its state")              \
  X (CY_E_RATE_EXCEEDED, 607, "workspace exceeded its rate")                  \
  X (CY_E_NO_BACKEND, 608, "no healthy backend server")                       \
  X (CY_E_NO_ROOM, 609, "no backend server has room")                         \
  X (CY_E_DEADLINE, 610, "deadline cannot be met")                            \
  X (CY_E_QUEUE_FULL, 611, "queue of waiting requests is full")               \
  X (CY_E_REQUEST_MALFORMED, 612, "request is malformed")                     \
  X (CY_E_BODY_TOO_LARGE, 613, "request body is too large")                   \
  X (CY_E_SERVICE_UNKNOWN, 614, "service is unknown")                         \
  X (CY_E_ROUTE_UNKNOWN, 615, "route is unknown")                             \
  X (CY_E_BACKEND_FAILED, 616, "backend server failed during the request")    \
  X (CY_E_STOPPING, 617, "entry VM is stopping")                              \
  X (CY_E_ANNOUNCE_INVALID, 618, "announcement has an invalid field")         \
  X (CY_E_ZONE_MISMATCH, 619, "availability zone does not match")             \
  X (CY_E_KEY_WORKSPACE, 620, "key is not valid for this route")              \
  X (CY_E_RETRY_BUDGET, 621, "budget of repeated requests is spent")          \
  X (CY_E_ANSWER_INVALID, 622, "backend server's answer is not valid")        \
  X (CY_E_METHOD_TOO_LONG, 623, "method of the request is too long")          \
  X (CY_E_POISON_REQUEST, 624, "backend servers ended under this request")    \
  X (CY_E_PLAN_NO_ROOM, 700, "regions have no room for the move")             \
  X (CY_E_PLAN_STALE, 701, "measurements are too old to plan with")           \
  X (CY_E_CAP_INVALID, 702, "cap is out of range")                            \
  X (CY_E_BLOCK_INVALID, 703, "client block is invalid")                      \
  X (CY_E_QUOTA_UNKNOWN, 800, "workspace has no quota")                       \
  X (CY_E_LEASE_EXPIRED, 801, "lease has expired")                            \
  X (CY_E_LEASE_UNKNOWN, 802, "lease is unknown")

#define CY_RESULT_ENUM(name, number, text) name = number,
typedef enum cy_result
{
  CY_RESULTS (CY_RESULT_ENUM)
} cy_result;
#undef CY_RESULT_ENUM

/* Returns a static English text for RESULT, "unknown result" if RESULT is not
   in the list.  */
const char *cy_result_text (cy_result result);

/* Returns the static name of RESULT, such as "CY_E_KEY_UNKNOWN".  */
const char *cy_result_name (cy_result result);

#endif /* CY_RESULT_H */
