// A value of the wire format, and its MessagePack form: maps keyed by text, lists, text, numbers,
// booleans and null.
#pragma once

#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace standin {

struct Value {
    enum class Type { null, boolean, integer, real, text, list, map };
    using Map = std::vector<std::pair<std::string, Value>>;
    Type type = Type::null;
    bool b = false;
    std::uint64_t i = 0;
    bool negative = false; // of an integer: `i` is then its absolute value
    double d = 0;
    std::string s;
    std::vector<Value> list;
    Map map;

    Value() = default;
    Value(bool v) : type(Type::boolean), b(v) {}
    Value(int v) : type(Type::integer), i(v < 0 ? -static_cast<std::int64_t>(v) : v), negative(v < 0) {}
    Value(std::uint64_t v) : type(Type::integer), i(v) {}
    Value(double v) : type(Type::real), d(v) {}
    Value(const char* v) : type(Type::text), s(v) {}
    Value(std::string v) : type(Type::text), s(std::move(v)) {}
    static Value make_list(std::vector<Value> items = {}) {
        Value v;
        v.type = Type::list;
        v.list = std::move(items);
        return v;
    }
    static Value make_map(Map items = {}) {
        Value v;
        v.type = Type::map;
        v.map = std::move(items);
        return v;
    }
    const Value* find(const std::string& key) const {
        for (const auto& [k, v] : map) {
            if (k == key) {
                return v.type == Type::null ? nullptr : &v;
            }
        }
        return nullptr;
    }
    const Value& at(const std::string& key) const {
        const Value* v = find(key);
        if (!v) {
            throw std::runtime_error("no field " + key);
        }
        return *v;
    }
    double number() const {
        return type == Type::integer ? (negative ? -1.0 : 1.0) * static_cast<double>(i) : d;
    }
    std::string text_or(const std::string& key, const std::string& otherwise) const {
        const Value* v = find(key);
        return v && v->type == Type::text ? v->s : otherwise;
    }
    std::uint64_t integer_or(const std::string& key, std::uint64_t otherwise) const {
        const Value* v = find(key);
        return v && v->type == Type::integer ? v->i : otherwise;
    }
    // For the record of a run, in the form of JSON.
    std::string to_json() const {
        switch (type) {
        case Type::null: return "null";
        case Type::boolean: return b ? "true" : "false";
        case Type::integer: return (negative ? "-" : "") + std::to_string(i);
        case Type::real: {
            std::string t = std::to_string(d);
            while (t.size() > 2 && t.back() == '0' && t[t.size() - 2] != '.') {
                t.pop_back();
            }
            return t;
        }
        case Type::text: return "\"" + s + "\"";
        case Type::list: {
            std::string t = "[";
            for (const auto& v : list) {
                t += (t.size() > 1 ? "," : "") + v.to_json();
            }
            return t + "]";
        }
        case Type::map: {
            std::string t = "{";
            for (const auto& [k, v] : map) {
                t += (t.size() > 1 ? ",\"" : "\"") + k + "\":" + v.to_json();
            }
            return t + "}";
        }
        }
        return "";
    }
};

inline void put_be(std::string& out, std::uint64_t v, int bytes) {
    for (int k = bytes - 1; k >= 0; --k) {
        out.push_back(static_cast<char>(v >> (8 * k)));
    }
}

inline void pack(const Value& v, std::string& out) {
    auto head = [&](std::size_t n, int fix, std::size_t fix_max, int b8, int b16, int b32) {
        if (n <= fix_max) {
            out.push_back(static_cast<char>(fix | static_cast<int>(n)));
        } else if (b8 && n < 256) {
            out.push_back(static_cast<char>(b8));
            put_be(out, n, 1);
        } else if (n < 65536) {
            out.push_back(static_cast<char>(b16));
            put_be(out, n, 2);
        } else {
            out.push_back(static_cast<char>(b32));
            put_be(out, n, 4);
        }
    };
    switch (v.type) {
    case Value::Type::null: out.push_back(static_cast<char>(0xc0)); break;
    case Value::Type::boolean: out.push_back(static_cast<char>(v.b ? 0xc3 : 0xc2)); break;
    case Value::Type::integer:
        if (v.negative) {
            out.push_back(static_cast<char>(0xd3));
            put_be(out, ~v.i + 1, 8);
        } else if (v.i < 128) {
            out.push_back(static_cast<char>(v.i));
        } else {
            out.push_back(static_cast<char>(0xcf));
            put_be(out, v.i, 8);
        }
        break;
    case Value::Type::real: {
        std::uint64_t bits = 0;
        std::memcpy(&bits, &v.d, 8);
        out.push_back(static_cast<char>(0xcb));
        put_be(out, bits, 8);
        break;
    }
    case Value::Type::text:
        head(v.s.size(), 0xa0, 31, 0xd9, 0xda, 0xdb);
        out += v.s;
        break;
    case Value::Type::list:
        head(v.list.size(), 0x90, 15, 0, 0xdc, 0xdd);
        for (const auto& item : v.list) {
            pack(item, out);
        }
        break;
    case Value::Type::map:
        head(v.map.size(), 0x80, 15, 0, 0xde, 0xdf);
        for (const auto& [k, item] : v.map) {
            pack(Value(k), out);
            pack(item, out);
        }
        break;
    }
}

inline std::string pack(const Value& v) {
    std::string out;
    pack(v, out);
    return out;
}

class Unpacker {
  public:
    explicit Unpacker(const std::string& in) : in_(in) {}
    Value value() {
        unsigned c = byte();
        if (c < 0x80) {
            return Value(static_cast<std::uint64_t>(c));
        }
        if (c < 0x90) {
            return map(c & 15);
        }
        if (c < 0xa0) {
            return list(c & 15);
        }
        if (c < 0xc0) {
            return Value(text(c & 31));
        }
        if (c >= 0xe0) {
            return signed_value(static_cast<std::int8_t>(c));
        }
        switch (c) {
        case 0xc0: return {};
        case 0xc2: return Value(false);
        case 0xc3: return Value(true);
        case 0xca: {
            auto bits = static_cast<std::uint32_t>(be(4));
            float f = 0;
            std::memcpy(&f, &bits, 4);
            return Value(static_cast<double>(f));
        }
        case 0xcb: {
            std::uint64_t bits = be(8);
            double d = 0;
            std::memcpy(&d, &bits, 8);
            return Value(d);
        }
        case 0xcc: return Value(be(1));
        case 0xcd: return Value(be(2));
        case 0xce: return Value(be(4));
        case 0xcf: return Value(be(8));
        case 0xd0: return signed_value(static_cast<std::int8_t>(be(1)));
        case 0xd1: return signed_value(static_cast<std::int16_t>(be(2)));
        case 0xd2: return signed_value(static_cast<std::int32_t>(be(4)));
        case 0xd3: return signed_value(static_cast<std::int64_t>(be(8)));
        case 0xd9: return Value(text(be(1)));
        case 0xda: return Value(text(be(2)));
        case 0xdb: return Value(text(be(4)));
        case 0xdc: return list(be(2));
        case 0xdd: return list(be(4));
        case 0xde: return map(be(2));
        case 0xdf: return map(be(4));
        default: throw std::runtime_error("not MessagePack");
        }
    }

  private:
    static Value signed_value(std::int64_t v) {
        Value out(static_cast<std::uint64_t>(v < 0 ? -v : v));
        out.negative = v < 0;
        return out;
    }
    unsigned byte() {
        if (at_ >= in_.size()) {
            throw std::runtime_error("MessagePack ends early");
        }
        return static_cast<unsigned char>(in_[at_++]);
    }
    std::uint64_t be(int bytes) {
        std::uint64_t v = 0;
        for (int k = 0; k < bytes; ++k) {
            v = v << 8 | byte();
        }
        return v;
    }
    std::string text(std::uint64_t n) {
        if (n > in_.size() - at_) {
            throw std::runtime_error("MessagePack ends early");
        }
        std::string out = in_.substr(at_, n);
        at_ += n;
        return out;
    }
    Value list(std::uint64_t n) {
        Value v = Value::make_list();
        for (; n > 0; --n) {
            v.list.push_back(value());
        }
        return v;
    }
    Value map(std::uint64_t n) {
        Value v = Value::make_map();
        for (; n > 0; --n) {
            Value key = value();
            v.map.emplace_back(key.s, value());
        }
        return v;
    }
    const std::string& in_;
    std::size_t at_ = 0;
};

inline Value unpack(const std::string& in) { return Unpacker(in).value(); }

} // namespace standin
