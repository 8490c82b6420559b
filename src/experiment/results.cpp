#include "experiment/results.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <hdf5.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <nlohmann/json.hpp>

#include "base/file.h"

namespace beamshunt::experiment {
namespace {

using emulator::kSeries;
using emulator::Series;
using nlohmann::json;

constexpr int kLayout = 1;

const std::vector<FigureName> kFigures{
    {"service", "part", false},       {"worst_second", "part", false}, {"took_mean", "ms", true},
    {"took_50", "ms", true},          {"took_99", "ms", true},         {"asked", "requests", false},
    {"tries", "tries/request", true}, {"messages", "messages", true},  {"lines", "lines", true},
    {"order_age_50", "ms", true},     {"order_age_99", "ms", true},    {"waiting", "lines", true},
    {"report_wait", "ms", true},      {"rules_kept", "rules", false},  {"margin_empty", "part", true},
    {"margin_twice", "part", true},   {"margin_drain", "part", true},  {"margin_cold", "part", true},
    {"margin_queue", "part", true},   {"fell_over", "servers", true},  {"deciding", "ms/s", true},
    {"longest_turn", "ms", true},     {"events", "events", true}};

emulator::Policy policy(const std::string& name, const std::string& path) {
  if (auto p = emulator::policy_named(name)) return *p;
  throw std::runtime_error(path + ": \"" + name + "\" is no policy");
}

// ---- The journal's lines ----
json to_json(const Row& row) {
  json out{{"point", row.run.point},
           {"policy", emulator::policy_name(row.run.policy)},
           {"seed", row.run.seed},
           {"values", row.values},
           {"figures", row.figures}};
  json samples = json::array();
  for (const emulator::Sample& s : row.samples) samples.push_back({s.at, s.values});
  out["samples"] = std::move(samples);
  return out;
}
Row from_json(const json& j, const std::string& path) {
  Row row;
  row.run = {j.at("point"), policy(j.at("policy"), path), j.at("seed")};
  row.values = j.at("values").get<std::vector<double>>();
  row.figures = j.at("figures").get<std::vector<double>>();
  if (row.figures.size() != kFigures.size()) throw std::runtime_error(path + ": a run without all figures");
  for (const json& s : j.at("samples")) {
    emulator::Sample sample{.at = s.at(0)};
    sample.values = s.at(1).get<std::array<double, kSeries>>();
    row.samples.push_back(sample);
  }
  return row;
}

// ---- HDF5: handles that close themselves, columns in and out ----
class Handle {
 public:
  Handle(hid_t id, herr_t (*close)(hid_t), const std::string& what) : id_(id), close_(close) {
    if (id_ < 0) throw std::runtime_error("HDF5: " + what);
  }
  ~Handle() { close_(id_); }
  Handle(const Handle&) = delete;
  operator hid_t() const { return id_; }

 private:
  hid_t id_;
  herr_t (*close_)(hid_t);
};
struct Quiet {  // errors are thrown, not printed
  Quiet() { H5Eset_auto2(H5E_DEFAULT, nullptr, nullptr); }
};

template <typename T>
hid_t type_of() {
  if constexpr (std::is_same_v<T, double>) return H5T_NATIVE_DOUBLE;
  else if constexpr (std::is_same_v<T, std::int64_t>) return H5T_NATIVE_INT64;
  else return H5T_NATIVE_UINT64;
}
template <typename T>
void write_column(hid_t group, const std::string& name, const std::vector<T>& values,
                  const std::string& unit = "") {
  hsize_t size = values.size(), chunk = std::clamp<hsize_t>(size, 1, 65536);
  Handle space(H5Screate_simple(1, &size, nullptr), H5Sclose, name);
  Handle how(H5Pcreate(H5P_DATASET_CREATE), H5Pclose, name);
  if (size > 0) H5Pset_chunk(how, 1, &chunk), H5Pset_deflate(how, 4);
  Handle set(H5Dcreate2(group, name.c_str(), type_of<T>(), space, H5P_DEFAULT, how, H5P_DEFAULT), H5Dclose,
             name);
  if (size > 0 && H5Dwrite(set, type_of<T>(), H5S_ALL, H5S_ALL, H5P_DEFAULT, values.data()) < 0)
    throw std::runtime_error("HDF5: could not write " + name);
  if (unit.empty()) return;
  Handle text(H5Tcopy(H5T_C_S1), H5Tclose, name);
  H5Tset_size(text, unit.size());
  Handle one(H5Screate(H5S_SCALAR), H5Sclose, name);
  Handle attribute(H5Acreate2(set, "unit", text, one, H5P_DEFAULT, H5P_DEFAULT), H5Aclose, name);
  H5Awrite(attribute, text, unit.data());
}
template <typename T>
std::vector<T> read_column(hid_t group, const std::string& name) {
  Handle set(H5Dopen2(group, name.c_str(), H5P_DEFAULT), H5Dclose, "there is no column " + name);
  Handle space(H5Dget_space(set), H5Sclose, name);
  std::vector<T> out(static_cast<std::size_t>(std::max<hssize_t>(0, H5Sget_simple_extent_npoints(space))));
  if (!out.empty() && H5Dread(set, type_of<T>(), H5S_ALL, H5S_ALL, H5P_DEFAULT, out.data()) < 0)
    throw std::runtime_error("HDF5: could not read " + name);
  return out;
}
void write_text(hid_t at, const std::string& name, const std::string& text) {
  Handle type(H5Tcopy(H5T_C_S1), H5Tclose, name);
  H5Tset_size(type, std::max<std::size_t>(1, text.size()));
  Handle one(H5Screate(H5S_SCALAR), H5Sclose, name);
  Handle attribute(H5Acreate2(at, name.c_str(), type, one, H5P_DEFAULT, H5P_DEFAULT), H5Aclose, name);
  std::string bytes = text.empty() ? std::string(1, '\0') : text;
  if (H5Awrite(attribute, type, bytes.data()) < 0) throw std::runtime_error("HDF5: could not write " + name);
}
std::string read_text(hid_t at, const std::string& name) {
  Handle attribute(H5Aopen(at, name.c_str(), H5P_DEFAULT), H5Aclose, "there is no attribute " + name);
  Handle type(H5Aget_type(attribute), H5Tclose, name);
  if (H5Tget_class(type) != H5T_STRING || H5Tis_variable_str(type) != 0)
    throw std::runtime_error("HDF5: attribute " + name + " is no text");
  std::string out(H5Tget_size(type), '\0');
  if (H5Aread(attribute, type, out.data()) < 0) throw std::runtime_error("HDF5: could not read " + name);
  out.resize(std::strlen(out.c_str()));  // the attribute may be padded with zeros
  return out;
}
std::string joined(const std::vector<std::string>& all) { return fmt::format("{}", fmt::join(all, "\n")); }
std::vector<std::string> split(const std::string& text) {
  std::vector<std::string> out;
  for (std::size_t at = 0; at <= text.size() && !text.empty();) {
    std::size_t end = std::min(text.find('\n', at), text.size());
    out.push_back(text.substr(at, end - at));
    at = end + 1;
  }
  return out;
}

}  // namespace

const std::vector<FigureName>& figure_names() { return kFigures; }
bool is_figure(const std::string& name) {
  return std::any_of(kFigures.begin(), kFigures.end(), [&](auto& f) { return f.name == name; });
}
bool is_series(const std::string& name) {
  for (std::size_t k = 0; k < kSeries; ++k)
    if (emulator::series_name(Series(k)).name == name) return true;
  return false;
}

std::vector<double> figures_of(const emulator::Emulated& p, Ms length) {
  auto margin = [&](audit::Rule rule) { return p.verdict.nearest[static_cast<std::size_t>(rule)]; };
  double tries = p.asked > 0 ? static_cast<double>(p.tries) / static_cast<double>(p.asked) : 0;
  return {p.service,
          p.worst_second,
          p.mean_took,
          p.took_50,
          p.took_99,
          static_cast<double>(p.asked),
          tries,
          static_cast<double>(p.messages),
          p.lines,
          p.age_50,
          p.age_99,
          p.most_waiting,
          p.oldest_report,
          static_cast<double>(p.verdict.kept()),
          margin(audit::Rule::empty),
          margin(audit::Rule::twice),
          margin(audit::Rule::drain),
          margin(audit::Rule::cold),
          margin(audit::Rule::queue),
          static_cast<double>(p.fell_over),
          p.deciding / length * 1000,
          p.longest_decision,
          static_cast<double>(p.events)};
}

bool rules_broken(const Row& row) {
  auto kept = std::find_if(kFigures.begin(), kFigures.end(),
                           [](auto& f) { return std::string_view(f.name) == "rules_kept"; });
  return row.figures[static_cast<std::size_t>(kept - kFigures.begin())] < audit::kRules;
}

Journal::Journal(const std::string& path, const Plan& plan) : path_(path) {
  std::string held = base::read_file(path).value_or("");
  std::string header = json{{"experiment", plan.name}, {"hash", fmt::format("{:016x}", plan.hash)}}.dump();
  std::size_t whole =
      held.rfind('\n') == std::string::npos ? 0 : held.rfind('\n') + 1;  // what is behind was torn
  std::size_t number = 0;
  for (std::size_t at = 0; at < whole; ++number) {
    std::size_t end = held.find('\n', at);
    std::string line = held.substr(at, end - at);
    if (number == 0 && line != header)
      throw std::runtime_error(path +
                               ": runs of another experiment, or of days since changed: delete it, or "
                               "give another --out");
    try {
      if (number > 0) rows_.push_back(from_json(json::parse(line), path));
    } catch (const json::exception& error) {
      throw std::runtime_error(fmt::format("{}:{}: damaged: {}", path, number + 1, error.what()));
    }
    at = end + 1;
  }
  file_ = ::open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0644);
  if (file_ < 0) throw std::runtime_error(path + ": " + std::strerror(errno));
  bool cut = ::ftruncate(file_, static_cast<off_t>(whole)) == 0 && ::lseek(file_, 0, SEEK_END) >= 0;
  header += '\n';
  if (!cut || (whole == 0 && ::write(file_, header.data(), header.size()) != std::ssize(header)))
    throw std::runtime_error(path + ": " + std::strerror(errno));
}
Journal::~Journal() { ::close(file_); }

void Journal::add(Row row) {
  std::string line = to_json(row).dump() + "\n";
  if (::write(file_, line.data(), line.size()) != std::ssize(line) || ::fdatasync(file_) != 0)
    throw std::runtime_error(path_ + ": " + std::strerror(errno));
  rows_.push_back(std::move(row));
}

Results results_of(const Plan& plan, std::vector<Row> rows) {
  Results out{plan.name, plan.text, {}, std::move(rows)};
  for (const Sweep& s : plan.sweeps) out.sweeps.push_back({s.name, s.unit});
  std::sort(out.rows.begin(), out.rows.end(), [](const Row& a, const Row& b) {
    return std::tie(a.run.point, a.run.policy, a.run.seed) < std::tie(b.run.point, b.run.policy, b.run.seed);
  });
  return out;
}

void write_results(const std::string& path, const Results& r) {
  Quiet quiet;
  std::string beside = path + ".new";
  {
    Handle file(H5Fcreate(beside.c_str(), H5F_ACC_TRUNC, H5P_DEFAULT, H5P_DEFAULT), H5Fclose,
                "could not write " + beside);
    write_text(file, "name", r.name), write_text(file, "experiment", r.experiment);
    write_text(file, "layout", std::to_string(kLayout));
    Handle runs(H5Gcreate2(file, "runs", H5P_DEFAULT, H5P_DEFAULT, H5P_DEFAULT), H5Gclose, "runs");
    std::vector<std::uint64_t> points, seeds;
    std::vector<std::int64_t> policies;
    std::vector<std::string> policy_names, sweep_names, sweep_units;
    for (const Row& row : r.rows) {
      points.push_back(row.run.point), seeds.push_back(row.run.seed);
      policies.push_back(static_cast<std::int64_t>(row.run.policy));
    }
    for (int k = 0; std::string(emulator::policy_name(emulator::Policy(k))) != "?"; ++k)
      policy_names.emplace_back(emulator::policy_name(emulator::Policy(k)));
    write_column(runs, "point", points), write_column(runs, "seed", seeds);
    write_column(runs, "policy", policies);
    write_text(runs, "policies", joined(policy_names));
    for (std::size_t k = 0; k < r.sweeps.size(); ++k) {
      std::vector<double> column;
      column.reserve(r.rows.size());
      for (const Row& row : r.rows) column.push_back(row.values[k]);
      write_column(runs, "sweep_" + r.sweeps[k].name, column, r.sweeps[k].unit);
      sweep_names.push_back(r.sweeps[k].name), sweep_units.push_back(r.sweeps[k].unit);
    }
    write_text(runs, "sweeps", joined(sweep_names)), write_text(runs, "sweep_units", joined(sweep_units));
    for (std::size_t k = 0; k < kFigures.size(); ++k) {
      std::vector<double> column;
      column.reserve(r.rows.size());
      for (const Row& row : r.rows) column.push_back(row.figures[k]);
      write_column(runs, kFigures[k].name, column, kFigures[k].unit);
    }
    Handle series(H5Gcreate2(file, "series", H5P_DEFAULT, H5P_DEFAULT, H5P_DEFAULT), H5Gclose, "series");
    std::vector<std::uint64_t> run, which;
    std::vector<double> time, value;
    for (std::size_t k = 0; k < r.rows.size(); ++k)
      for (const emulator::Sample& s : r.rows[k].samples)
        for (std::size_t n = 0; n < kSeries; ++n)
          run.push_back(k), which.push_back(n), time.push_back(s.at), value.push_back(s.values[n]);
    write_column(series, "run", run), write_column(series, "series", which);
    write_column(series, "time", time, "ms"), write_column(series, "value", value);
    std::vector<std::string> names, units;
    for (std::size_t n = 0; n < kSeries; ++n)
      names.emplace_back(emulator::series_name(Series(n)).name),
          units.emplace_back(emulator::series_name(Series(n)).unit);
    write_text(series, "names", joined(names)), write_text(series, "units", joined(units));
    if (H5Fflush(file, H5F_SCOPE_GLOBAL) < 0) throw std::runtime_error("could not write " + beside);
  }
  if (std::rename(beside.c_str(), path.c_str()) != 0)
    throw std::runtime_error(path + ": " + std::strerror(errno));
}

Results read_results(const std::string& path) {
  Quiet quiet;
  Results out;
  Handle file(H5Fopen(path.c_str(), H5F_ACC_RDONLY, H5P_DEFAULT), H5Fclose,
              path + " is not there, or no results file");
  try {
    if (read_text(file, "layout") != std::to_string(kLayout))
      throw std::runtime_error("layout " + read_text(file, "layout") + " is not known");
    out.name = read_text(file, "name"), out.experiment = read_text(file, "experiment");
    Handle runs(H5Gopen2(file, "runs", H5P_DEFAULT), H5Gclose, "there is no group runs");
    auto points = read_column<std::uint64_t>(runs, "point"), seeds = read_column<std::uint64_t>(runs, "seed");
    auto policies = read_column<std::int64_t>(runs, "policy");
    std::vector<std::string> policy_names = split(read_text(runs, "policies"));
    std::vector<std::string> names = split(read_text(runs, "sweeps"));
    std::vector<std::string> units = split(read_text(runs, "sweep_units"));
    units.resize(names.size());
    if (seeds.size() != points.size() || policies.size() != points.size())
      throw std::runtime_error("columns of runs differ in length");
    out.rows.resize(points.size());
    for (std::size_t k = 0; k < points.size(); ++k) {
      if (policies[k] < 0 || policies[k] >= std::ssize(policy_names))
        throw std::runtime_error(fmt::format("run {} has no policy", k));
      out.rows[k].run = {points[k], policy(policy_names[static_cast<std::size_t>(policies[k])], path),
                         seeds[k]};
    }
    auto fill = [&](const std::string& column, std::vector<double> Row::*where) {
      std::vector<double> values = read_column<double>(runs, column);
      if (values.size() != out.rows.size())
        throw std::runtime_error("column " + column + " has another length");
      for (std::size_t k = 0; k < values.size(); ++k) (out.rows[k].*where).push_back(values[k]);
    };
    for (std::size_t k = 0; k < names.size(); ++k)
      out.sweeps.push_back({names[k], units[k]}), fill("sweep_" + names[k], &Row::values);
    for (const FigureName& f : kFigures) fill(f.name, &Row::figures);
    Handle series(H5Gopen2(file, "series", H5P_DEFAULT), H5Gclose, "there is no group series");
    auto run = read_column<std::uint64_t>(series, "run"),
         which = read_column<std::uint64_t>(series, "series");
    auto time = read_column<double>(series, "time"), value = read_column<double>(series, "value");
    for (std::size_t k = 0; k < run.size(); ++k) {
      if (run[k] >= out.rows.size() || which.size() != run.size() || which[k] >= kSeries ||
          time.size() != run.size() || value.size() != run.size())
        throw std::runtime_error(fmt::format("series: row {} belongs to nothing", k));
      auto& samples = out.rows[run[k]].samples;
      if (samples.empty() || samples.back().at != time[k]) samples.push_back({.at = time[k]});
      samples.back().values[which[k]] = value[k];
    }
  } catch (const std::runtime_error& error) {
    throw std::runtime_error(path + ": " + error.what());
  }
  return out;
}

}  // namespace beamshunt::experiment
