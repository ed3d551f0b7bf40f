//! Tests whether a figure is flat over time: ordinary least squares on block means, with the 95 % confidence interval
//! of the slope by Student's t distribution. Single samples vary with the fault that is active; the means of
//! blocks that span a whole cycle don't.

/// Slope of a fitted line, with its confidence interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trend {
    /// Slope in units per second.
    pub slope: f64,
    /// Half the width of the slope's 95 % confidence interval, in units per second.
    pub slope_margin: f64,
    /// Mean of the block means.
    pub mean: f64,
    /// Maximum of the samples.
    pub max: f64,
    /// Number of blocks that the line was fitted to.
    pub block_count: usize,
}

/// With fewer blocks a trend can't be distinguished from chance.
const MIN_BLOCKS: usize = 4;

impl Trend {
    /// Fits a line to samples (seconds, value), averaged over blocks of `block_seconds`; none if there are too few
    /// blocks.
    pub fn fit(samples: &[(f64, f64)], block_seconds: f64) -> Option<Self> {
        let start = samples.first()?.0;
        // By block: number of samples, sum of their times, sum of their values.
        let mut sums: Vec<(f64, f64, f64)> = Vec::new();
        for (at, value) in samples {
            let block = ((at - start) / block_seconds.max(f64::MIN_POSITIVE)) as usize;
            sums.resize(sums.len().max(block + 1), (0.0, 0.0, 0.0));
            let sum = &mut sums[block];
            *sum = (sum.0 + 1.0, sum.1 + at, sum.2 + value);
        }
        // Blocks with less than half the samples of the first one, such as a last one that was cut short, are left out:
        // they would weigh as much as whole ones.
        let samples_per_block = sums.first()?.0;
        let blocks: Vec<_> = sums
            .iter()
            .filter(|s| s.0 >= samples_per_block / 2.0)
            .map(|(count, time_sum, value_sum)| (time_sum / count, value_sum / count))
            .collect();
        if blocks.len() < MIN_BLOCKS {
            return None;
        }
        let block_count = blocks.len() as f64;
        let mean = |f: fn(&(f64, f64)) -> f64| blocks.iter().map(f).sum::<f64>() / block_count;
        let (mean_time, mean_value) = (mean(|b| b.0), mean(|b| b.1));
        let sxx: f64 = blocks.iter().map(|b| (b.0 - mean_time).powi(2)).sum();
        let sxy: f64 = blocks.iter().map(|b| (b.0 - mean_time) * (b.1 - mean_value)).sum();
        let slope = sxy / sxx;
        let squared_residuals: f64 =
            blocks.iter().map(|b| (b.1 - mean_value - slope * (b.0 - mean_time)).powi(2)).sum();
        let standard_error = (squared_residuals / (block_count - 2.0) / sxx).sqrt();
        let max = samples.iter().map(|s| s.1).fold(f64::NEG_INFINITY, f64::max);
        Some(Trend {
            slope,
            slope_margin: student_t_quantile(blocks.len() - 2) * standard_error,
            mean: mean_value,
            max,
            block_count: blocks.len(),
        })
    }

    /// Whether the whole confidence interval is within `tolerance`, in units per second.
    pub fn is_flat(&self, tolerance: f64) -> bool {
        self.slope + self.slope_margin <= tolerance
    }

    /// Whether the whole confidence interval is above `tolerance`, in units per second.
    pub fn is_growing(&self, tolerance: f64) -> bool {
        self.slope - self.slope_margin > tolerance
    }
}

/// The 97.5 % quantile of Student's t distribution: the textbook table up to 20 degrees of freedom, and an
/// approximation that tends to the normal quantile of 1.96 beyond it.
fn student_t_quantile(degrees_of_freedom: usize) -> f64 {
    const TABLE: [f64; 20] = [
        12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145,
        2.131, 2.120, 2.110, 2.101, 2.093, 2.086,
    ];
    TABLE.get(degrees_of_freedom.saturating_sub(1)).copied().unwrap_or(1.96 + 2.5 / degrees_of_freedom as f64)
}
