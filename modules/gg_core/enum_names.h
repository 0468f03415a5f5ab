#ifndef GG_CORE_ENUM_NAMES_H_
#define GG_CORE_ENUM_NAMES_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace greengage {

/** Table of the names of an enum class whose enumerators are numbered
    consecutively from zero.

    @code
    enum class Color { kRed, kBlue };
    inline constexpr EnumNames<Color, 2> kColorNames{{"red", "blue"}};
    kColorNames.Name(Color::kBlue);  // "blue"
    @endcode
*/
template <typename Enum, size_t kCount>
struct EnumNames {
  std::array<std::string_view, kCount> names;

  /** Returns the name of `value`, or "?" when it is out of range. */
  constexpr std::string_view Name(Enum value) const {
    const auto index = static_cast<size_t>(value);
    return index < kCount ? names[index] : "?";
  }

  /** Returns the enumerator called `name`, or nullopt when there is none. */
  constexpr std::optional<Enum> Parse(std::string_view name) const {
    for (size_t i = 0; i < kCount; ++i) {
      if (names[i] == name) return static_cast<Enum>(i);
    }
    return std::nullopt;
  }
};

}  // namespace greengage

#endif  // GG_CORE_ENUM_NAMES_H_
