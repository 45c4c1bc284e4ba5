/* Frames: a written frame is read back.  Invalid, truncated and foreign input
   is rejected, each with its own result.  */

#include <glib.h>
#include <string.h>

#include "cy_test.h"
#include "net/cyn_frame.h"

#define CLUSTER "c1"

static GByteArray *
make_frame (const char *cluster)
{
  Cy__ProbePing ping = CY__PROBE_PING__INIT;
  ping.sequence = 77;
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  envelope.request = 5;
  envelope.body_case = CY__ENVELOPE__BODY_PING;
  envelope.ping = &ping;
  GByteArray *buffer = g_byte_array_new ();
  ck_assert_int_eq (cyn_frame_write (cluster, &envelope, buffer), CY_OK);
  return buffer;
}

START_TEST (test_round_trip)
{
  GByteArray *frame = make_frame (CLUSTER);
  size_t used = 0;
  Cy__Envelope *message = NULL;
  ck_assert_int_eq (
      cyn_frame_read (CLUSTER, frame->data, frame->len, &used, &message),
      CY_OK);
  ck_assert_uint_eq (used, frame->len);
  ck_assert_uint_eq (message->request, 5);
  ck_assert_uint_eq (message->ping->sequence, 77);
  cy__envelope__free_unpacked (message, NULL);
  g_byte_array_unref (frame);
}
END_TEST

START_TEST (test_truncated_frame_needs_more)
{
  GByteArray *frame = make_frame (CLUSTER);
  for (guint length = 0; length < frame->len; length++)
    {
      size_t used = 0;
      Cy__Envelope *message = NULL;
      ck_assert_int_eq (
          cyn_frame_read (CLUSTER, frame->data, length, &used, &message),
          CY_E_AGAIN);
      ck_assert_ptr_null (message);
    }
  g_byte_array_unref (frame);
}
END_TEST

struct bad_frame
{
  const char *name;
  guint offset;
  uint8_t value;
  cy_result expected;
};

static const struct bad_frame bad_frames[] = {
  { "first magic byte", 0, 'X', CY_E_FRAME_MAGIC },
  { "last magic byte", 3, '9', CY_E_FRAME_MAGIC },
  { "version 0", 4, 0, CY_E_FRAME_VERSION },
  { "next version", 4, CYN_FRAME_VERSION + 1, CY_E_FRAME_VERSION },
  { "reserved byte", 6, 1, CY_E_FRAME_MALFORMED },
  { "length far above the maximum", 8, 0xff, CY_E_FRAME_TOO_LARGE },
  { "checksum", 12, 0xaa, CY_E_FRAME_CHECKSUM },
  { "payload", CYN_FRAME_HEADER, 0xff, CY_E_FRAME_CHECKSUM },
};

START_TEST (test_bad_frame)
{
  const struct bad_frame *row = &bad_frames[_i];
  GByteArray *frame = make_frame (CLUSTER);
  frame->data[row->offset] = frame->data[row->offset] == row->value
                                 ? (uint8_t)~row->value
                                 : row->value;
  size_t used = 0;
  Cy__Envelope *message = NULL;
  cy_result result
      = cyn_frame_read (CLUSTER, frame->data, frame->len, &used, &message);
  ck_assert_msg (result == row->expected, "%s: %s", row->name,
                 cy_result_name (result));
  g_byte_array_unref (frame);
}
END_TEST

START_TEST (test_frame_of_another_cluster)
{
  GByteArray *frame = make_frame ("c2");
  size_t used = 0;
  Cy__Envelope *message = NULL;
  ck_assert_int_eq (
      cyn_frame_read (CLUSTER, frame->data, frame->len, &used, &message),
      CY_E_FRAME_CHECKSUM);
  g_byte_array_unref (frame);
}
END_TEST

START_TEST (test_mutated_frames_never_crash)
{
  uint64_t seed = 20261204;
  printf ("seed %llu\n", (unsigned long long)seed);
  struct cy_random random = cy_seeded_random (&seed);
  for (int iteration = 0; iteration < 20000; iteration++)
    {
      GByteArray *frame = make_frame (CLUSTER);
      uint64_t changes = 1 + cy_random_below (&random, 4);
      while (changes-- > 0)
        frame->data[cy_random_below (&random, frame->len)]
            = (uint8_t)cy_random_next (&random);
      size_t used = 0;
      Cy__Envelope *message = NULL;
      cy_result result
          = cyn_frame_read (CLUSTER, frame->data, frame->len, &used, &message);
      if (result == CY_OK)
        cy__envelope__free_unpacked (message, NULL);
      else
        ck_assert_ptr_null (message);
      g_byte_array_unref (frame);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("frame");
  TCase *tcase = tcase_create ("frames");
  tcase_add_test (tcase, test_round_trip);
  tcase_add_test (tcase, test_truncated_frame_needs_more);
  tcase_add_loop_test (tcase, test_bad_frame, 0, G_N_ELEMENTS (bad_frames));
  tcase_add_test (tcase, test_frame_of_another_cluster);
  tcase_add_test (tcase, test_mutated_frames_never_crash);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}
