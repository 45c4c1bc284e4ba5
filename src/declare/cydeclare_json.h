/* Internals of libcydeclare, included by the files of src/declare only.  */

#ifndef CYDECLARE_JSON_H
#define CYDECLARE_JSON_H

#include <jansson.h>

#include "cydeclare.h"

#define CYDECLARE_NAME_MAX 63 /* bytes of a declared name */

struct cydeclare
{
  json_t *root;      /* JSON document, owned */
  cy_result result;  /* first error, CY_OK if none */
  char message[256]; /* reason of the first error, "" if none */
};

/* Stores RESULT and the formatted message, followed by RESULT's text, as the
   first error.  An earlier error stays.  Returns the first error.  */
cy_result cydeclare_fail (struct cydeclare *d, cy_result result,
                          const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Returns true when LOW <= VALUE <= HIGH; otherwise fails for FIELD and
   returns false.  */
bool cydeclare_check_range (struct cydeclare *d, const char *field,
                            double value, double low, double high);

/* Returns true when SECTION declares NAME; otherwise fails and returns
   false.  */
bool cydeclare_check_declared (struct cydeclare *d, const char *section,
                               const char *name);

/* Puts BODY as NAME of SECTION and takes over the reference of BODY, also
   after an error.  cydeclare_add also checks that NAME is valid and not
   declared yet.  */
cy_result cydeclare_put (struct cydeclare *d, const char *section,
                         const char *name, json_t *body);
cy_result cydeclare_add (struct cydeclare *d, const char *section,
                         const char *name, json_t *body);

/* Sets FIELD of the object NAME in SECTION to VALUE and takes over the
   reference of VALUE, also after an error.  */
cy_result cydeclare_set (struct cydeclare *d, const char *section,
                         const char *name, const char *field, json_t *value);

/* Returns VALUE as JSON, a new reference: an integer is printed without a
   decimal point.  */
json_t *cydeclare_number (double value);

#endif /* CYDECLARE_JSON_H */
