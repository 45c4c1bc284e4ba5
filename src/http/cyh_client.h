/* HTTP client side: a libcurl multi handle driven by an event loop.  Loop's
   thread.  libcurl keeps connections open between transfers.  */

#ifndef CYH_CLIENT_H
#define CYH_CLIENT_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stddef.h>

#include "net/cyn_loop.h"

struct cyh_client;

/* Called when the transfer of EASY has ended; EASY is already removed from the
   multi handle.  */
typedef void (*cyh_done_fn) (CURL *easy, CURLcode code, void *context);

struct cyh_client_options
{
  struct cyn_loop *loop;
  long connections_max; /* most idle connections kept open over all hosts */
  cyh_done_fn on_done;
  /* Called after each round of transfers, outside of libcurl's callbacks.  May
     be NULL.  */
  void (*after_round) (void *context);
  void *context;
};

/* Initialises libcurl once; call from main before threads start.  */
void cyh_client_global (void);

struct cyh_client *
cyh_client_create (const struct cyh_client_options *options);
void cyh_client_destroy (struct cyh_client *client);

/* Starts EASY, which the caller owns.  Not from a libcurl callback.  */
void cyh_client_add (struct cyh_client *client, CURL *easy);

/* Cancels EASY; the connection of an unfinished transfer is closed.  Not from
   a libcurl callback.  */
void cyh_client_remove (struct cyh_client *client, CURL *easy);

/* Returns a reset easy handle, a spare one if there is one.  The caller
   gives it back with cyh_client_release.  */
CURL *cyh_client_acquire (struct cyh_client *client);

/* Both ends of a connection.  One local port serves several remote ones.  */
struct cyh_ends
{
  const char *local_host; /* numeric, as libcurl prints it */
  int local_port;
  const char *remote_host;
  int remote_port;
};

/* Records that FD is the socket of the connection between ENDS.  The transfer
   that opened it needs cyh_client_track.  */
void cyh_client_add_socket (struct cyh_client *client, curl_socket_t fd,
                            const struct cyh_ends *ends);

/* Lets EASY report the end of its connections, which may outlive it.  Before
   cyh_client_add.  */
void cyh_client_track (struct cyh_client *client, CURL *easy);

/* True when the recorded connection between ENDS is open and has no unread
   input.  A persistent connection with unread input has received
   bytes that belong to no request: the next answer would continue them.  */
bool cyh_client_is_clean (const struct cyh_client *client,
                          const struct cyh_ends *ends);

/* Takes back EASY, which cyh_client_acquire returned and which is in no
   transfer.  */
void cyh_client_release (struct cyh_client *client, CURL *easy);

#endif /* CYH_CLIENT_H */
