/* Deltas between the texts of two declarations, and their compressed form.  A
   delta must restore the new text exactly; a damaged delta or an unexpected
   base text must be refused, never applied.  */

#include <glib.h>
#include <string.h>

#include "core/cyi_delta.h"
#include "core/cyi_pack.h"
#include "cy_test.h"

struct pair
{
  const char *base;
  const char *text;
  size_t new_bytes_max; /* literal bytes in the delta, besides segments */
};

#define ROUTE(n, w) "{\"name\":\"route" n "\",\"weight\":" w "},"

static const struct pair pairs[] = {
  { "", "", 0 },
  { "", "{\"a\":1}", 7 },
  { "{\"a\":1}", "", 0 },
  { "no object", "no object", 0 },
  { "{\"a\":1}", "{\"a\":1}", 0 },
  { "{\"n\":1,\"r\":[" ROUTE ("1", "5") ROUTE ("2", "5") ROUTE ("3", "5") "]}",
    "{\"n\":2,\"r\":[" ROUTE ("1", "5") ROUTE ("2", "9") ROUTE ("3", "5") "]}",
    48 },
  /* One route added in the middle, one removed at the end, two swapped.  */
  { "{\"r\":[" ROUTE ("1", "5") ROUTE ("3", "5") ROUTE ("4", "5"),
    "{\"r\":[" ROUTE ("3", "5") ROUTE ("2", "5") ROUTE ("1", "5"), 32 },
};

START_TEST (test_pairs)
{
  const struct pair *pair = &pairs[_i];
  Cy__Document delta = CY__DOCUMENT__INIT;
  char *text = NULL;
  size_t new_bytes = 0;
  cyi_delta_make (pair->base, pair->text, &delta);
  for (size_t i = 0; i < delta.n_pieces; i++)
    new_bytes += delta.pieces[i]->fresh.len;
  ck_assert_uint_le (new_bytes, pair->new_bytes_max);
  ck_assert_int_eq (cyi_delta_apply (pair->base, &delta, &text), CY_OK);
  ck_assert_str_eq (text, pair->text);
  g_free (text);
  cyi_delta_clear (&delta);
}
END_TEST

struct broken_delta
{
  const char *base;
  uint32_t from;
  uint32_t length;
  cy_result result;
};

static const struct broken_delta broken_deltas[] = {
  { "{\"a\":1}", 0, 7, CY_OK },
  { "{\"a\":2}", 0, 7, CY_E_FRAME_CHECKSUM },
  { "{\"a\":1}", 0, 6, CY_E_FRAME_CHECKSUM },
  { "{\"a\":1}", 0, 8, CY_E_FRAME_MALFORMED },
  { "{\"a\":1}", 8, 0, CY_E_FRAME_MALFORMED },
  { "{\"a\":1}", UINT32_MAX, 7, CY_E_FRAME_MALFORMED },
  { "{\"a\":1}", 1, UINT32_MAX, CY_E_FRAME_MALFORMED },
};

START_TEST (test_broken)
{
  const struct broken_delta *row = &broken_deltas[_i];
  Cy__Document delta = CY__DOCUMENT__INIT;
  char *text = NULL;
  cyi_delta_make ("{\"a\":1}", "{\"a\":1}", &delta);
  ck_assert_uint_eq (delta.n_pieces, 1);
  delta.pieces[0]->from = row->from;
  delta.pieces[0]->length = row->length;
  ck_assert_int_eq (cyi_delta_apply (row->base, &delta, &text), row->result);
  ck_assert ((text != NULL) == (row->result == CY_OK));
  g_free (text);
  cyi_delta_clear (&delta);
}
END_TEST

/* Returns the text of a declaration with ROUTES routes.  */
static char *
make_declaration (unsigned routes)
{
  GString *text = g_string_new ("{\"routes\":[");
  for (unsigned i = 0; i < routes; i++)
    g_string_append_printf (
        text,
        "{\"name\":\"route%u\",\"host\":\"h%u.example\","
        "\"prefix\":\"/p%u/\",\"timeout_ms\":1000,\"rank\":2},",
        i, i % 7, i * 7919);
  return g_string_free (text, FALSE);
}

static const struct
{
  unsigned routes;
  bool packs;
  double ratio_max; /* packed size to plain size */
} packs[] = {
  { 0, false, 1 },
  { 4, false, 1 },
  { 100, true, 0.3 },
  { 1300, true, 0.3 },
};

START_TEST (test_pack)
{
  Cy__Document plain = CY__DOCUMENT__INIT;
  Cy__Document packed = CY__DOCUMENT__INIT;
  Cy__Document *unpacked = NULL;
  char *text = make_declaration (packs[_i].routes);
  plain.number = 7;
  plain.text = text;
  ck_assert_int_eq (cyi_pack (&plain, &packed), packs[_i].packs);
  if (packs[_i].packs)
    {
      ck_assert_uint_eq (packed.number, 7);
      ck_assert_uint_le (packed.packed.len,
                         (size_t)(strlen (text) * packs[_i].ratio_max));
      ck_assert_int_eq (cyi_unpack (&packed, &unpacked), CY_OK);
      ck_assert_str_eq (unpacked->text, text);
      cy__document__free_unpacked (unpacked, NULL);
    }
  cyi_pack_clear (&packed);
  g_free (text);
}
END_TEST

/* Damaged packed declarations: truncated, with one changed byte, or with a
   size that differs from the stated one.  */
START_TEST (test_bad_pack)
{
  Cy__Document plain = CY__DOCUMENT__INIT;
  Cy__Document packed = CY__DOCUMENT__INIT;
  Cy__Document *unpacked = NULL;
  char *text = make_declaration (100);
  plain.text = text;
  ck_assert (cyi_pack (&plain, &packed));
  static const int sizes[] = { -1, 1, 1 << 30 };
  uint32_t size = packed.packed_size;
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      packed.packed_size = size + (uint32_t)sizes[i];
      ck_assert_int_eq (cyi_unpack (&packed, &unpacked), CY_E_FRAME_MALFORMED);
    }
  packed.packed_size = 0;
  ck_assert_int_eq (cyi_unpack (&packed, &unpacked), CY_E_FRAME_MALFORMED);
  packed.packed_size = size;
  size_t length = packed.packed.len;
  for (packed.packed.len = 0; packed.packed.len < length;
       packed.packed.len += 37)
    ck_assert_int_eq (cyi_unpack (&packed, &unpacked), CY_E_FRAME_MALFORMED);
  packed.packed.len = length;
  for (size_t position = 0; position < length; position += 11)
    {
      packed.packed.data[position] ^= 0x20;
      ck_assert_int_eq (cyi_unpack (&packed, &unpacked), CY_E_FRAME_MALFORMED);
      packed.packed.data[position] ^= 0x20;
    }
  cyi_pack_clear (&packed);
  g_free (text);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("delta");
  TCase *tcase = tcase_create ("delta");
  tcase_add_loop_test (tcase, test_pairs, 0, G_N_ELEMENTS (pairs));
  tcase_add_loop_test (tcase, test_broken, 0, G_N_ELEMENTS (broken_deltas));
  tcase_add_loop_test (tcase, test_pack, 0, G_N_ELEMENTS (packs));
  tcase_add_test (tcase, test_bad_pack);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}
