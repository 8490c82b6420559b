// What an experiment's runs come to, and where that is kept: a journal that grows run by run and survives a
// kill, and a columnar file (HDF5) made of it at the end.
//
// The columnar file: /runs/point, /runs/policy, /runs/seed and one column for each sweep and figure, a
// row a run; /series/run (row in /runs), /series/series (position in the attribute `names`), /series/time
// (ms since the traffic began), /series/value; units as attributes; attributes of the root: name,
// experiment (its text), version of this layout.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "emulator/emulator.h"
#include "experiment/plan.h"

namespace beamshunt::experiment {

struct FigureName {
  const char* name;
  const char* unit;
  bool less_is_better;
};
const std::vector<FigureName>& figure_names();
bool is_figure(const std::string& name);
bool is_series(const std::string& name);
std::vector<double> figures_of(const emulator::Emulated& played, Ms length);  // in the order of the names

struct Row {
  Run run;
  std::vector<double> values;   // of the sweeps
  std::vector<double> figures;  // in the order of figure_names()
  std::vector<emulator::Sample> samples;
};

bool rules_broken(const Row& row);

// Finished runs, one line each, synced; a torn last line is cut. Throws std::runtime_error where the
// journal is of another experiment, or damaged.
class Journal {
 public:
  Journal(const std::string& path, const Plan& plan);
  ~Journal();
  Journal(const Journal&) = delete;
  const std::vector<Row>& rows() const { return rows_; }  // those of earlier attempts and those added
  void add(Row row);

 private:
  int file_ = -1;
  std::string path_;
  std::vector<Row> rows_;
};

struct Results {
  std::string name, experiment;
  struct Swept {
    std::string name, unit;
  };
  std::vector<Swept> sweeps;
  std::vector<Row> rows;  // by point, policy, seed
};
Results results_of(const Plan& plan, std::vector<Row> rows);

// Written beside and renamed: there is the whole file or none. Throw std::runtime_error naming the path.
void write_results(const std::string& path, const Results& results);
Results read_results(const std::string& path);

}  // namespace beamshunt::experiment
