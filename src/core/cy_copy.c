#include "core/cy_copy.h"

#include <glib.h>
#include <protobuf-c/protobuf-c.h>

void *
cy_copy (const void *message)
{
  const ProtobufCMessage *base = message;
  size_t length = protobuf_c_message_get_packed_size (base);
  uint8_t *bytes = g_malloc (length + 1);
  protobuf_c_message_pack (base, bytes);
  void *copy
      = protobuf_c_message_unpack (base->descriptor, NULL, length, bytes);
  g_free (bytes);
  if (copy == NULL)
    g_error ("copy of a message: out of memory");
  return copy;
}
