/* Tables of the declared kinds: section of the document, prefix of the key and
   fields.  Reading, printing and comparing use the same tables.  */

#ifndef CYJ_FIELDS_H
#define CYJ_FIELDS_H

#include <stdbool.h>
#include <stddef.h>

#include "cy.pb-c.h"

/* Type of a field in the message that holds it.  */
enum cyj_field_kind
{
  CYJ_NUMBER,   /* double */
  CYJ_INTEGER,  /* uint32_t */
  CYJ_BOOLEAN,  /* protobuf_c_boolean */
  CYJ_STRING,   /* char *, a name in REFERS_TO's section, or a path when
                   REFERS_TO is NULL */
  CYJ_PREFIXES, /* char **, address blocks of Cy__ClientBlocks */
  CYJ_ROUTES    /* Cy__Route **, routes of Cy__Service */
};

struct cyj_field
{
  const char *name; /* key in the JSON document */
  enum cyj_field_kind kind;
  size_t offset;        /* bytes from the start of the body message */
  double minimum;       /* smallest value of a number */
  double maximum;       /* largest value of a number, or size of a list */
  double default_value; /* value of a number that is not declared */
  bool required;        /* the document must declare the field */
  /* Key prefix of the object that the field names and that must exist, NULL
     if the field names none.  */
  const char *refers_to;
};

struct cyj_kind
{
  const char *section; /* name in the document, such as "workspaces" */
  const char *prefix;  /* prefix of the keys, such as "workspace/" */
  const struct cyj_field *fields; /* table that ends with a NULL name */
  Cy__Object__BodyCase body_case;
  const ProtobufCMessageDescriptor *descriptor;
  bool single;        /* the section is one object, not a map of names */
  size_t name_offset; /* bytes to the char * of the name, if HAS_NAME */
  bool has_name;      /* the body repeats the object's name */
};

/* All declared kinds; the table ends with a NULL section.  */
extern const struct cyj_kind cyj_kinds[];

/* Fields of a route of a service; the table ends with a NULL name.  */
extern const struct cyj_field cyj_route_fields[];

/* Returns the kind of OBJECT, NULL if documents do not declare its kind.  */
const struct cyj_kind *cyj_kind_of (const Cy__Object *object);

/* Returns the body of OBJECT, whatever its kind: all bodies are pointers in
   one union.  */
static inline void *
cyj_object_body (const Cy__Object *object)
{
  return object->region;
}

#endif /* CYJ_FIELDS_H */
