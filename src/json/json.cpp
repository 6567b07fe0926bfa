#include "json/json.hpp"

#include <charconv>
#include <cmath>

namespace dunlinwick::json {
namespace {

class Reader {
 public:
  explicit Reader(std::string_view text) : rest_(text) {}

  bool whole(Value& v) {
    if (!value(v, 0)) return false;
    blanks();
    return rest_.empty();
  }

 private:
  static constexpr int deepest = 32;  // settings nest four deep; the stack is safe far beyond this

  void blanks() {
    while (!rest_.empty() && (rest_[0] == ' ' || rest_[0] == '\t' || rest_[0] == '\n' || rest_[0] == '\r'))
      rest_.remove_prefix(1);
  }
  bool next(char c) {
    if (rest_.empty() || rest_[0] != c) return false;
    rest_.remove_prefix(1);
    return true;
  }
  bool nextWord(std::string_view w) {
    if (!rest_.starts_with(w)) return false;
    rest_.remove_prefix(w.size());
    return true;
  }

  bool value(Value& v, int depth) {
    blanks();
    if (rest_.empty() || depth > deepest) return false;
    switch (rest_[0]) {
      case '{':
        return object(v, depth);
      case '[':
        return list(v, depth);
      case '"':
        v.kind = Kind::string;
        return string(v.text);
      case 't':
        v.kind = Kind::boolean, v.text = "true";
        return nextWord("true");
      case 'f':
        v.kind = Kind::boolean, v.text = "false";
        return nextWord("false");
      case 'n':
        return nextWord("null");
    }
    return number(v);
  }

  bool object(Value& v, int depth) {
    v.kind = Kind::object;
    next('{');
    blanks();
    if (next('}')) return true;
    do {
      blanks();
      std::string name;
      if (!string(name) || v.find(name)) return false;
      blanks();
      if (!next(':')) return false;
      v.members.emplace_back(std::move(name), Value{});
      if (!value(v.members.back().second, depth + 1)) return false;
      blanks();
    } while (next(','));
    return next('}');
  }

  bool list(Value& v, int depth) {
    v.kind = Kind::list;
    next('[');
    blanks();
    if (next(']')) return true;
    do {
      v.items.emplace_back();
      if (!value(v.items.back(), depth + 1)) return false;
      blanks();
    } while (next(','));
    return next(']');
  }

  std::size_t digits() {
    std::size_t n = 0;
    while (n < rest_.size() && rest_[n] >= '0' && rest_[n] <= '9') ++n;
    rest_.remove_prefix(n);
    return n;
  }

  bool number(Value& v) {
    v.kind = Kind::number;
    std::string_view from = rest_;
    next('-');
    bool zero = !rest_.empty() && rest_[0] == '0';
    std::size_t n = digits();
    if (n == 0 || (zero && n > 1)) return false;
    if (next('.') && digits() == 0) return false;
    if (next('e') || next('E')) {
      next('+') || next('-');
      if (digits() == 0) return false;
    }
    v.text = from.substr(0, from.size() - rest_.size());
    return std::isfinite(v.asNumber());
  }

  bool hex4(unsigned& code) {
    if (rest_.size() < 4) return false;
    auto [end, fault] = std::from_chars(rest_.data(), rest_.data() + 4, code, 16);
    if (fault != std::errc{} || end != rest_.data() + 4) return false;
    rest_.remove_prefix(4);
    return true;
  }

  static void utf8(std::string& out, unsigned c) {
    auto put = [&](unsigned byte) { out.push_back(static_cast<char>(byte)); };
    if (c < 0x80) return put(c);
    if (c < 0x800) return put(0xc0 | c >> 6), put(0x80 | (c & 0x3f));
    if (c < 0x10000) put(0xe0 | c >> 12);
    else put(0xf0 | c >> 18), put(0x80 | (c >> 12 & 0x3f));
    put(0x80 | (c >> 6 & 0x3f)), put(0x80 | (c & 0x3f));
  }

  bool escaped(std::string& out) {
    static constexpr std::string_view marks = "\"\\/bfnrt", means = "\"\\/\b\f\n\r\t";
    if (rest_.empty()) return false;
    if (std::size_t at = marks.find(rest_[0]); at != marks.npos) {
      out.push_back(means[at]);
      rest_.remove_prefix(1);
      return true;
    }
    unsigned c = 0, low = 0;
    if (!next('u') || !hex4(c)) return false;
    if (c >= 0xdc00 && c < 0xe000) return false;
    if (c >= 0xd800 && c < 0xdc00) {
      if (!nextWord("\\u") || !hex4(low) || low < 0xdc00 || low >= 0xe000) return false;
      c = 0x10000 + ((c - 0xd800) << 10) + (low - 0xdc00);
    }
    utf8(out, c);
    return true;
  }

  bool string(std::string& out) {
    if (!next('"')) return false;
    while (!rest_.empty()) {
      char c = rest_[0];
      rest_.remove_prefix(1);
      if (c == '"') return true;
      if (static_cast<unsigned char>(c) < ' ') return false;
      if (c != '\\') out.push_back(c);
      else if (!escaped(out)) return false;
    }
    return false;
  }

  std::string_view rest_;
};

}  // namespace

const Value* Value::find(std::string_view name) const {
  for (auto& [key, value] : members)
    if (key == name) return &value;
  return nullptr;
}

const Value* Value::find(std::string_view name, Kind wanted) const {
  const Value* v = find(name);
  return v && v->kind == wanted ? v : nullptr;
}

std::string_view Value::word(std::string_view name) const {
  const Value* v = find(name, Kind::string);
  return v ? std::string_view(v->text) : std::string_view{};
}

std::optional<double> Value::number(std::string_view name) const {
  const Value* v = find(name, Kind::number);
  if (!v) return std::nullopt;
  return v->asNumber();
}

double Value::asNumber() const {
  double v = NAN;
  std::from_chars(text.data(), text.data() + text.size(), v);
  return v;
}

std::optional<Value> read(std::string_view text) {
  Value v;
  if (!Reader(text).whole(v)) return std::nullopt;
  return v;
}

}  // namespace dunlinwick::json
