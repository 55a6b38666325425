#ifndef HEMLOCKPOINT_CONFIG_FWD_H_
#define HEMLOCKPOINT_CONFIG_FWD_H_

namespace hemlockpoint {

class TomlReader;
struct Settings;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CONFIG_FWD_H_
