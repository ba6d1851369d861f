#include "common/toml.h"

#define TOML_HEADER_ONLY 0
#include <toml++/toml.h>

#include <string>
#include <string_view>

namespace
{

toml_node_t *convert (TALLOC_CTX *parent, const toml::node &value);

void
append (toml_node_t *table, const toml::node &value, const char *key)
{
  toml_node_t *child = convert (table, value);

  if (child == nullptr)
    return;
  if (key != nullptr)
    child->key = talloc_strdup (child, key);
  TAILQ_INSERT_TAIL (&table->children, child, link);
}

void
convert_children (toml_node_t *node, const toml::node &value)
{
  if (const toml::table *table = value.as_table ())
    {
      node->kind = TOML_TABLE;
      for (const auto &[key, child] : *table)
        append (node, child, std::string (key.str ()).c_str ());
    }
  else if (const toml::array *array = value.as_array ())
    {
      node->kind = TOML_ARRAY;
      for (const toml::node &child : *array)
        append (node, child, nullptr);
    }
}

void
convert_scalar (toml_node_t *node, const toml::node &value)
{
  if (const auto *text = value.as_string ())
    {
      node->kind = TOML_STRING;
      node->string = talloc_strdup (node, text->get ().c_str ());
    }
  else if (const auto *integer = value.as_integer ())
    {
      node->kind = TOML_INTEGER;
      node->integer = integer->get ();
    }
  else if (const auto *real = value.as_floating_point ())
    {
      node->kind = TOML_REAL;
      node->real = real->get ();
    }
  else if (const auto *boolean = value.as_boolean ())
    {
      node->kind = TOML_BOOLEAN;
      node->boolean = boolean->get ();
    }
  else
    node->kind = TOML_OTHER;
}

toml_node_t *
convert (TALLOC_CTX *parent, const toml::node &value)
{
  toml_node_t *node = talloc_zero (parent, toml_node_t);

  if (node == nullptr)
    return nullptr;
  TAILQ_INIT (&node->children);
  node->line = value.source ().begin.line;
  node->column = value.source ().begin.column;
  if (value.is_table () || value.is_array ())
    convert_children (node, value);
  else
    convert_scalar (node, value);
  return node;
}

} // namespace

/* Parse TEXT and return its root table, owned by PARENT.  FILE is the name of
   the text in findings.  On a syntax error adds a finding and returns NULL;
   the parser stops at the first one.  */
extern "C" toml_node_t *
toml_parse (TALLOC_CTX *parent, const char *text, size_t size,
            const char *file, findings_t *findings)
{
  try
    {
      toml::table root = toml::parse (std::string_view (text, size));

      return convert (parent, root);
    }
  catch (const toml::parse_error &error)
    {
      findings_add (findings, file, error.source ().begin.line,
                    error.source ().begin.column, "%s",
                    std::string (error.description ()).c_str ());
    }
  catch (const std::exception &error)
    {
      findings_add (findings, file, 0, 0, "%s", error.what ());
    }
  return nullptr;
}
