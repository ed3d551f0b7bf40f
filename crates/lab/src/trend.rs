//! Is a figure flat over time? The slope of a straight line through block means, with its confidence bound: single
//! samples swing with the troubles of the moment, and blocks of a whole cycle do not.

/// Slope of a line through samples, and how sure it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trend {
    /// Units a second.
    pub slope: f64,
    /// Half the width of the interval that holds the slope with 95 %.
    pub slope_margin: f64,
    pub mean: f64,
    pub max: f64,
    pub block_count: usize,
}

/// Fewest blocks that tell a trend from chance.
const FEWEST: usize = 4;

impl Trend {
    /// The trend of samples (seconds, figure), in blocks of `block` seconds; none from too few blocks.
    pub fn fit(samples: &[(f64, f64)], block: f64) -> Option<Self> {
        let start = samples.first()?.0;
        let mut sums: Vec<(f64, f64, f64)> = Vec::new();
        for (at, value) in samples {
            let number = ((at - start) / block.max(f64::MIN_POSITIVE)) as usize;
            sums.resize(sums.len().max(number + 1), (0.0, 0.0, 0.0));
            let sum = &mut sums[number];
            *sum = (sum.0 + 1.0, sum.1 + at, sum.2 + value);
        }
        // A last block that was cut short would weigh as much as a whole one.
        let usual = sums.first()?.0;
        let blocks: Vec<_> =
            sums.iter().filter(|s| s.0 >= usual / 2.0).map(|(n, at, value)| (at / n, value / n)).collect();
        if blocks.len() < FEWEST {
            return None;
        }
        let n = blocks.len() as f64;
        let mean = |f: fn(&(f64, f64)) -> f64| blocks.iter().map(f).sum::<f64>() / n;
        let (x, y) = (mean(|b| b.0), mean(|b| b.1));
        let sxx: f64 = blocks.iter().map(|b| (b.0 - x).powi(2)).sum();
        let sxy: f64 = blocks.iter().map(|b| (b.0 - x) * (b.1 - y)).sum();
        let slope = sxy / sxx;
        let rest: f64 = blocks.iter().map(|b| (b.1 - y - slope * (b.0 - x)).powi(2)).sum();
        let error = (rest / (n - 2.0) / sxx).sqrt();
        let most = samples.iter().map(|s| s.1).fold(f64::NEG_INFINITY, f64::max);
        Some(Trend {
            slope,
            slope_margin: student(blocks.len() - 2) * error,
            mean: y,
            max: most,
            block_count: blocks.len(),
        })
    }

    /// It surely grows by less than `tolerance` units a second.
    pub fn is_flat(&self, tolerance: f64) -> bool {
        self.slope + self.slope_margin <= tolerance
    }

    /// It surely grows by more.
    pub fn is_growing(&self, tolerance: f64) -> bool {
        self.slope - self.slope_margin > tolerance
    }
}

/// The quantile of Student's distribution at 97.5 %, by degrees of freedom; a table of what is printed in every
/// textbook, with the normal one beyond it.
fn student(freedom: usize) -> f64 {
    const TABLE: [f64; 20] = [
        12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145,
        2.131, 2.120, 2.110, 2.101, 2.093, 2.086,
    ];
    TABLE.get(freedom.saturating_sub(1)).copied().unwrap_or(1.96 + 2.5 / freedom as f64)
}
