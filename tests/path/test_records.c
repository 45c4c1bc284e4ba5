/* The independent checker of the request path's proofs: compares the requests
   that backend servers recorded as run with the answers that callers recorded.

     test_records [--slots=N] RAN TOLD...

   Without arguments it tests itself on a table of small records.  */

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <string.h>

#include "cy_test.h"

/* Runs with one request ID.  */
struct ran
{
  int count;
  char *workspace;
  bool safe; /* idempotent: may run twice */
};

struct verdict
{
  int runs;          /* lines of backend servers */
  int answers;       /* lines of callers */
  int key_seen;      /* the backend server received a key */
  int over_slots;    /* the server ran more requests than it has slots */
  int ran_twice;     /* non-idempotent requests that ran more than once */
  int false_not_run; /* answered as not run, but ran */
  int wrong;         /* the caller received another request's answer */
  int foreign;       /* ran for another workspace */
  int not_found;     /* answered as run, but never ran */
};

static void
ran_free (void *data)
{
  struct ran *ran = data;
  g_free (ran->workspace);
  g_free (ran);
}

static const char *
text_of (json_t *line, const char *name)
{
  const char *text = json_string_value (json_object_get (line, name));
  return text == NULL ? "" : text;
}

static void
count_run (GHashTable *runs, json_t *line, int slots, struct verdict *verdict)
{
  const char *id = text_of (line, "id");
  const char *method = text_of (line, "method");
  verdict->runs++;
  verdict->key_seen += json_is_true (json_object_get (line, "key_seen"));
  verdict->over_slots
      += slots > 0
         && json_integer_value (json_object_get (line, "in_flight")) > slots;
  if (id[0] == '\0')
    return;
  struct ran *ran = g_hash_table_lookup (runs, id);
  if (ran == NULL)
    {
      ran = g_new0 (struct ran, 1);
      ran->workspace = g_strdup (text_of (line, "workspace"));
      ran->safe
          = (strcmp (method, "POST") != 0 && strcmp (method, "PATCH") != 0)
            || g_str_has_prefix (text_of (line, "path"), "/safe");
      g_hash_table_insert (runs, g_strdup (id), ran);
    }
  ran->count++;
}

static void
count_answer (GHashTable *runs, json_t *line, struct verdict *verdict)
{
  const struct ran *ran = g_hash_table_lookup (runs, text_of (line, "id"));
  const char *outcome = text_of (line, "outcome");
  json_int_t status = json_integer_value (json_object_get (line, "status"));
  bool good = strcmp (outcome, "ran") == 0 && status >= 200 && status < 300
              && text_of (line, "error")[0] == '\0';
  verdict->answers++;
  verdict->wrong += json_is_true (json_object_get (line, "wrong"));
  verdict->false_not_run += strcmp (outcome, "not-run") == 0 && ran != NULL;
  verdict->not_found += good && ran == NULL;
  verdict->foreign
      += good && ran != NULL && ran->workspace[0] != '\0'
         && strcmp (ran->workspace, text_of (line, "workspace")) != 0;
}

typedef void (*line_fn) (json_t *line, void *context);

struct check
{
  GHashTable *runs;
  int slots;
  struct verdict *verdict;
};

static void
on_run (json_t *line, void *context)
{
  struct check *check = context;
  count_run (check->runs, line, check->slots, check->verdict);
}

static void
on_answer (json_t *line, void *context)
{
  struct check *check = context;
  count_answer (check->runs, line, check->verdict);
}

/* Calls FN with every complete line; an incomplete last line is skipped.  */
static void
each_line (const char *text, line_fn fn, void *context)
{
  char **lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      json_t *object = json_loads (*line, 0, NULL);
      if (object != NULL)
        fn (object, context);
      json_decref (object);
    }
  g_strfreev (lines);
}

static struct verdict
check_records (const char *ran, const char *const *told, int slots)
{
  struct verdict verdict = { 0 };
  struct check check
      = { g_hash_table_new_full (g_str_hash, g_str_equal, g_free, ran_free),
          slots, &verdict };
  each_line (ran, on_run, &check);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, check.runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ran *run = value;
      verdict.ran_twice += run->count > 1 && !run->safe;
    }
  for (; *told != NULL; told++)
    each_line (*told, on_answer, &check);
  g_hash_table_destroy (check.runs);
  return verdict;
}

static int
count_faults (const struct verdict *verdict)
{
  return verdict->key_seen + verdict->over_slots + verdict->ran_twice
         + verdict->false_not_run + verdict->wrong + verdict->foreign
         + verdict->not_found;
}

/* ------------------------------------------------------------ tool */

static int
check_files (int argc, char **argv)
{
  int slots = 0;
  int first = 1;
  if (g_str_has_prefix (argv[first], "--slots="))
    slots = atoi (argv[first++] + 8);
  GPtrArray *texts = g_ptr_array_new_with_free_func (g_free);
  for (int i = first; i < argc; i++)
    {
      char *text = NULL;
      if (!g_file_get_contents (argv[i], &text, NULL, NULL))
        {
          fprintf (stderr, "cannot read %s\n", argv[i]);
          return EXIT_FAILURE;
        }
      g_ptr_array_add (texts, text);
    }
  g_ptr_array_add (texts, NULL);
  const char *const *all = (const char *const *)(void *)texts->pdata;
  struct verdict verdict = check_records (all[0], all + 1, slots);
  printf ("runs %d, told %d, ran twice %d, false not-run %d, wrong answers "
          "%d, other workspace %d, ran without a run %d, key seen %d, over "
          "slots %d\n",
          verdict.runs, verdict.answers, verdict.ran_twice,
          verdict.false_not_run, verdict.wrong, verdict.foreign,
          verdict.not_found, verdict.key_seen, verdict.over_slots);
  g_ptr_array_free (texts, TRUE);
  return count_faults (&verdict) == 0 && verdict.answers > 0 ? EXIT_SUCCESS
                                                             : EXIT_FAILURE;
}

/* ------------------------------------------------------------ test */

#define RUN(id, method)                                                       \
  "{\"id\":\"" id "\",\"workspace\":\"w1\",\"method\":\"" method              \
  "\",\"path\":\"/\",\"in_flight\":3,\"key_seen\":false}\n"
#define TOLD(id, outcome, status)                                             \
  "{\"id\":\"" id "\",\"workspace\":\"w1\",\"outcome\":\"" outcome            \
  "\",\"error\":\"\",\"status\":" #status ",\"wrong\":false}\n"

static const struct
{
  const char *ran;
  const char *told;
  int slots;
  int faults;
} rows[] = {
  { RUN ("a", "POST"), TOLD ("a", "ran", 200), 4, 0 },
  { RUN ("a", "POST"), TOLD ("a", "unknown", 502), 4, 0 },
  { "", TOLD ("a", "not-run", 503), 4, 0 },
  { "", TOLD ("a", "unknown", 504), 4, 0 },
  { RUN ("a", "GET") RUN ("a", "GET"), TOLD ("a", "ran", 200), 4, 0 },
  { RUN ("a", "POST") RUN ("a", "POST"), TOLD ("a", "ran", 200), 4, 1 },
  { RUN ("a", "POST"), TOLD ("a", "not-run", 503), 4, 1 },
  { RUN ("a", "GET"), TOLD ("a", "not-run", 503), 4, 1 },
  { "", TOLD ("a", "ran", 200), 4, 1 },
  { RUN ("a", "POST"), TOLD ("a", "ran", 200), 2, 1 },
  { "{\"id\":\"a\",\"workspace\":\"w2\",\"method\":\"GET\"}",
    TOLD ("a", "ran", 200), 4, 1 },
  { "{\"id\":\"a\",\"workspace\":\"w1\",\"key_seen\":true}",
    TOLD ("a", "ran", 200), 4, 1 },
  { RUN ("a", "POST"), "{\"id\":\"a\",\"workspace\":\"w1\",\"wrong\":true}", 4,
    1 },
};

START_TEST (test_verdicts)
{
  const char *told[] = { rows[_i].told, NULL };
  struct verdict verdict = check_records (rows[_i].ran, told, rows[_i].slots);
  ck_assert_int_eq (count_faults (&verdict), rows[_i].faults);
  ck_assert_int_eq (verdict.answers, 1);
}
END_TEST

int
main (int argc, char **argv)
{
  if (argc > 2)
    return check_files (argc, argv);
  Suite *suite = suite_create ("records");
  TCase *tcase = tcase_create ("judge");
  tcase_add_loop_test (tcase, test_verdicts, 0, G_N_ELEMENTS (rows));
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}
