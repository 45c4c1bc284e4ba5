/* Connections to the other members.  This member dials one connection to each
   and only sends on it; a peer answers on the connection that the peer
   dialled.  A connection is replaced when the peer no longer acknowledges
   messages, and in any case before CYN_IDLE_TIMEOUT_MS closes it, since no
   byte arrives on it.  The old connection is used until the new one is open.
   Loop's thread.  */

#ifndef CYX_PEERS_H
#define CYX_PEERS_H

#include "net/cyn_conn.h"

struct cyx_peers;

struct cyx_peers *cyx_peers_create (struct cyn_loop *loop,
                                    const struct cyn_identity *identity);

/* Closes every connection; the loop frees them.  */
void cyx_peers_destroy (struct cyx_peers *peers);

/* Sets the address of member ID and dials it.  An empty HOST or PORT 0 is
   ignored.  */
void cyx_peers_set_address (struct cyx_peers *peers, uint64_t id,
                            const char *host, uint16_t port);
void cyx_peers_remove (struct cyx_peers *peers, uint64_t id);

/* Processes the sequence numbers of a received MESSAGE.  They show whether the
   peer still receives messages from this member: if not, the connection is
   replaced, also when the other direction works.  */
void cyx_peers_receive (struct cyx_peers *peers,
                        const Cy__RaftMessage *message);

/* Sets the sequence numbers of MESSAGE and sends it to the member that it
   names; dropped when there is no open connection.  */
void cyx_peers_send (struct cyx_peers *peers, Cy__RaftMessage *message);

#endif /* CYX_PEERS_H */
