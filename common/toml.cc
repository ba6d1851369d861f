#include "common/toml.h"

#define TOML_HEADER_ONLY 0
#include <toml++/toml.h>

#include <algorithm>
#include <string>
#include <string_view>

namespace
{

/* The parser and CONVERT recurse into each part of a key and would overflow
   the stack; no setting has more than a few.  */
constexpr unsigned MAX_KEY_PARTS = 32;

/* Returns the position after the string at AT.  One of several lines ends with
   three quotes, which up to two that belong to it may precede.  */
size_t
skip_string (std::string_view text, size_t at)
{
  const char quote = text[at];
  const std::string triple (3, quote);
  const bool has_lines = text.compare (at, 3, triple) == 0;
  const std::string end = has_lines ? triple : triple.substr (0, 1);

  for (at += end.size (); at < text.size (); at++)
    {
      if (quote == '"' && text[at] == '\\')
        at++;
      else if (text.compare (at, end.size (), end) == 0)
        break;
    }
  at += end.size ();
  for (int i = 0; has_lines && i < 2 && at < text.size (); i++)
    at += text[at] == quote;
  return std::min (at, text.size ());
}

/* Returns the position of the first part beyond MAX_KEY_PARTS of a key, or
   npos if TEXT has no such key.  */
size_t
find_deep_key (std::string_view text)
{
  unsigned parts = 1;

  for (size_t at = 0; at < text.size ();)
    {
      if (text[at] == '"' || text[at] == '\'')
        {
          at = skip_string (text, at);
          continue;
        }
      if (text[at] == '#')
        {
          at = std::min (text.find ('\n', at), text.size ());
          continue;
        }
      if (text[at] == '.')
        parts++;
      else if (std::string_view ("\n=,{[").find (text[at])
               != std::string_view::npos)
        parts = 1;
      if (parts > MAX_KEY_PARTS)
        return at;
      at++;
    }
  return std::string_view::npos;
}

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
   the text in findings.  On a syntax error, or if a key has too many parts,
   adds a finding and returns NULL; the parser stops at the first one.  */
extern "C" toml_node_t *
toml_parse (TALLOC_CTX *parent, const char *text, size_t size,
            const char *file, findings_t *findings)
{
  const std::string_view view (text, size);
  const size_t deep_key = find_deep_key (view);

  if (deep_key != std::string_view::npos)
    {
      const auto lines
          = std::count (view.begin (), view.begin () + deep_key, '\n');

      findings_add (
          findings, file, static_cast<unsigned> (lines) + 1,
          static_cast<unsigned> (deep_key - view.rfind ('\n', deep_key)),
          "a key has more than %u parts", MAX_KEY_PARTS);
      return nullptr;
    }
  try
    {
      toml::table root = toml::parse (view);

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
