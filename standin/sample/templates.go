package sample

import "pistachioshore.dev/record"

// recordTemplate lists the values from which records of one kind are generated.
type recordTemplate struct {
	models    []string
	attribute string // attribute that holds the detail in schema 2
	details   []string
}

var (
	chairParts = recordTemplate{
		models:    []string{"hydraulic pump HP-220", "hydraulic pump HP-340", "foot pedal FP-12", "upholstery kit UK-7", "gas cylinder GC-90", "base plate BP-4"},
		attribute: "fits",
		details:   []string{"chair Lutece 3", "chair Armen 2", "shampoo unit Odet", "barber chair Kador"},
	}
	chairJobs = recordTemplate{
		models:    []string{"replace cylinder GC-90", "refit hydraulic pump HP-220", "renew upholstery kit UK-7", "adjust foot pedal FP-12"},
		attribute: "salon",
		details:   []string{"Quimper centre", "Brest Siam", "Angers Ralliement", "Cherbourg quai"},
	}
	reminders = recordTemplate{
		models:    []string{"yearly check of hydraulic pump", "invoice reminder", "warranty ends"},
		attribute: "client",
		details:   []string{"Salon Bleuenn", "Coiffure Le Goff", "Barbier du port"},
	}
	prismBatches = recordTemplate{
		models:    []string{"lens blank LB-40", "lens blank LB-65", "roof prism RP-30", "penta prism PP-25", "pitch lap L-110"},
		attribute: "glass",
		details:   []string{"N-BK7", "N-SF11", "fused silica", "CaF2"},
	}
	prismJobs = recordTemplate{
		models:    []string{"polish roof prism RP-30", "coat penta prism PP-25", "centre lens blank LB-40"},
		attribute: "customer",
		details:   []string{"Brno observatory", "Kosice metrology", "Zilina optics school"},
	}
	rejectMarks = recordTemplate{
		models:    []string{"scratch 40-20 on roof prism RP-30", "edge chip on lens blank LB-65", "coating void on penta prism PP-25"},
		attribute: "sister piece",
		details:   []string{"batch 1107 piece 3", "batch 1107 piece 9", "batch 1212 piece 1"},
	}
	certificates = recordTemplate{
		models:    []string{"certificate of flatness", "certificate of angle", "certificate of coating"},
		attribute: "piece",
		details:   []string{"roof prism RP-30", "penta prism PP-25", "lens blank LB-40"},
	}
)

// templateFor returns the kind and the template of the n-th record in each key range of a group.
func templateFor(group string, n int) (record.Kind, recordTemplate) {
	switch group {
	case "tournees", "suivi-chantier":
		return record.KindJob, chairJobs
	case "relances-clients":
		return record.KindJob, reminders
	case "order-desk":
		return record.KindJob, prismJobs
	case "cert-archive":
		return record.KindPart, certificates
	case "pitch-stock":
		return record.KindBatch, prismBatches
	case "workshop-ledger":
		if n%4 == 0 {
			return record.KindRejectMark, rejectMarks
		}
		return record.KindBatch, prismBatches
	default:
		return record.KindPart, chairParts
	}
}
